package io.bluebellramp.cli

import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals

class ExplanationTest {
    private val job = "5c0e7a21d94b36f8"

    private fun logLine(
        second: Int,
        decision: String,
        fields: String = "",
        id: String = job,
    ) =
        """{"time":"2026-01-01T00:00:0$second.1Z","level":"INFO","message":"decision","node":"n","decision":"$decision","job":"$id"$fields}"""

    private fun explain(vararg lines: String) = Explanation.fromLogs(job, lines.asSequence())

    @Test
    fun `log records of all processes are sorted by time and other lines are ignored`() {
        val explanation =
            explain(
                "12.5 front-1 " + logLine(3, "answered", ""","outcome":"Completed","elapsed":"80ms","objective":"200ms""""),
                logLine(1, "placed"),
                logLine(2, "placed", id = "00000000000000ff"),
                "$job but no JSON",
            )
        assertEquals(listOf("placed", "answered"), explanation.lines.map { it.split(' ')[2] })
    }

    @Test
    fun `the cause of a request is its job, and that of a refused call the reason of the refusal`() {
        val request = "75b9af9dd165ecc7"
        val received = logLine(1, "received", ""","request":"$request"""")
        val other = logLine(2, "answered", ""","outcome":"Completed","elapsed":"80ms","objective":"200ms"""")
        assertEquals("This request handed in job $job; explain that.", Explanation.fromLogs(request, sequenceOf(received, other)).cause)
        val refused = logLine(1, "call_refused", ""","request":"$request","status":503,"reason":"no catalog is known yet"""")
        val expected = "The call was refused with 503: no catalog is known yet."
        assertEquals(expected, Explanation.fromLogs(request, sequenceOf(refused)).cause)
        assertEquals(expected, explain(refused).cause)
    }

    @TestFactory
    fun `the cause sums up how the job ended`(): List<DynamicTest> =
        mapOf(
            "refused on arrival" to
                Pair(listOf(logLine(1, "refused", ""","reason":"no room in time"""")), "Refused on arrival: no room in time"),
            "task returned after its lease ran out" to
                Pair(
                    listOf(
                        logLine(1, "task_back", ""","reason":"its lease ran out unseen""""),
                        logLine(2, "answered", ""","outcome":"Unfinished","elapsed":"1.5s","objective":"200ms""""),
                    ),
                    "1 x its lease ran out unseen",
                ),
            "the caller left" to
                Pair(listOf(logLine(1, "ending", ""","reason":"the caller left"""")), "Ended without an answer: the caller left"),
            "no log record" to Pair(emptyList(), "No line names this job"),
            "no answer logged" to Pair(listOf(logLine(1, "placed")), "No answer is logged"),
        ).map { (name, case) -> dynamicTest(name) { assertContains(explain(*case.first.toTypedArray()).cause, case.second) } }
}
