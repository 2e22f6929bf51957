package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.JobSubmission
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class EntryShutdownTest {
    private val local = LocalEntry(drainMillis = 200)
    private val address = local.address
    private val agent = FakeAgent(address, "a1") { it.done() }.start()
    private val responses = ConcurrentHashMap<SubmissionId, String>()
    private val isEntryStopped = AtomicBoolean()

    @AfterEach
    fun stop() {
        agent.stop()
        local.stop()
    }

    /** Submits a job on a new connection and records the response, or an empty string if the call failed. */
    private fun call() {
        val job = job(size = 1)
        val body = WireJson.encodeToString(JobSubmission.serializer(), job)
        val head = "POST /v1/jobs HTTP/1.1\r\nHost: $address\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n"
        responses[job.submission] =
            try {
                Socket(address.host, address.port).use {
                    it.getOutputStream().write((head + body).toByteArray())
                    it.getInputStream().readAllBytes().decodeToString()
                }
            } catch (_: IOException) {
                ""
            }
    }

    private fun isComplete(response: String) = response.startsWith("HTTP/1.1 ") && response.endsWith("}")

    @Nested
    inner class `An entry that shuts down while callers keep submitting` {
        @Test
        fun `holds no claim for a call that got no complete response`() =
            local.runTest {
                withContext(Dispatchers.IO) {
                    val callers = List(CALLER_COUNT) { async { while (!isEntryStopped.get()) call() } }
                    delay(300)
                    local.stopEntry()
                    isEntryStopped.set(true)
                    callers.awaitAll()
                }
                val incomplete = responses.filterValues { !isComplete(it) }.keys
                assertTrue(responses.size > incomplete.size, "calls that were answered")
                assertEquals(
                    emptyList(),
                    incomplete.filter { local.control.claims.containsKey(it) },
                    "claims of ${incomplete.size} cut calls",
                )
            }
    }

    @Nested
    inner class `An answer that no caller has received when its entry shuts down` {
        @Test
        fun `is returned by another entry to a caller who asks for it or submits the same id again`() =
            local.runTest {
                val other = freeAddress()
                val second = local.startAnother("e2", other)
                while (!second.isReady() || local.control.peers.size < 2) delay(5)
                val body = WireJson.encodeToString(JobSubmission.serializer(), job())
                val id = WireJson.decodeFromString(JobSubmission.serializer(), body).submission
                local.http.post("http://$address/v1/jobs?wait=0") { setBody(body) }
                local.stopEntry()
                val asked = local.http.get("http://$other/v1/jobs/$id?wait=0")
                val again = local.http.post("http://$other/v1/jobs") { setBody(body) }
                for (response in listOf(asked, again)) {
                    val answer = WireJson.decodeFromString(Answer.serializer(), response.bodyAsText())
                    assertEquals(AnswerOutcome.COMPLETE to 3, answer.outcome to answer.results?.size)
                }
                assertEquals(3, agent.frames.sumOf { it.dispatches.size }, "dispatches")
            }
    }

    private companion object {
        const val CALLER_COUNT = 4
    }
}
