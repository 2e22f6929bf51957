package io.bluebellramp.runtime

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.io.OutputStream
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals

class JsonLinesTest {
    private val out = ByteArrayOutputStream()
    private val lines = JsonLines(out, capacity = 3) { Instant.EPOCH }

    private fun parsedLines(): List<JsonObject> =
        out
            .toString(Charsets.UTF_8)
            .trimEnd()
            .lines()
            .map { Json.parseToJsonElement(it) as JsonObject }

    private fun JsonObject.field(name: String) = this[name]?.jsonPrimitive?.content

    @Test
    fun `a line is one JSON object, whatever characters its fields contain`() {
        lines.add("INFO", "two\nlines", mapOf("quote" to "\"\\", "number" to 7, "empty" to ""))
        lines.flush()
        val line = parsedLines().single()
        assertEquals("two\nlines", line.field("message"))
        assertEquals("\"\\", line.field("quote"))
        assertEquals(null, line["empty"])
    }

    @Test
    fun `a decision is one line, in which its own fields replace the common ones`() {
        lines.add(Decision(kind = "placed", reason = "", fields = mapOf("job" to "\u0001", "reason" to "full")))
        lines.add(Decision(kind = "started", reason = "ready"))
        lines.flush()
        val (placed, started) = parsedLines()
        assertEquals(listOf("placed", "\u0001", "full"), listOf("decision", "job", "reason").map { placed.field(it) })
        assertEquals(listOf("decision", "started", "ready"), listOf("message", "decision", "reason").map { started.field(it) })
        assertEquals(setOf("time", "level", "message", "decision", "reason"), started.keys)
    }

    @Test
    fun `the time of a line has nanoseconds, and follows the clock in both directions`() {
        val times =
            listOf(
                "2026-12-07T02:47:05.038940948Z",
                "2026-12-07T02:47:05.000000007Z",
                "2026-12-07T02:47:06.000000000Z",
                "2026-12-07T02:47:05.900000000Z",
            )
        val clock = times.map { Instant.parse(it) }.iterator()
        val timed = JsonLines(out) { clock.next() }
        repeat(times.size) { timed.add("INFO", "line") }
        timed.flush()
        assertEquals(times, parsedLines().map { it.field("time") })
    }

    @Test
    fun `lines beyond the capacity are dropped, counted and reported once`() {
        repeat(5) { lines.add("INFO", "line $it") }
        lines.flush()
        lines.flush()
        assertEquals(listOf("line 0", "line 1", "line 2", "log lines dropped"), parsedLines().map { it.field("message") })
        assertEquals("2", parsedLines().last().field("count"))
    }

    @Test
    fun `lines are lost without an exception if the output fails`() {
        val failing =
            JsonLines(
                object : OutputStream() {
                    override fun write(byte: Int) = throw IOException("closed")
                },
            )
        failing.add("INFO", "x")
        failing.flush()
        assertEquals(1, failing.droppedLineCount)
    }
}
