package io.bluebellramp.entry

import io.bluebellramp.core.EntryId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.EntrySettings
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.TaskSpecification
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.Socket
import java.time.Instant
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class EntryShutdownTest {
    private val control = FakeControl()
    private val address = freeAddress()
    private val agent = FakeAgent(address, "a1") { it.done() }
    private val entry =
        EntryProgram(
            EntrySettings(
                entry = EntryId("e1"),
                site = SiteId("vestland"),
                zone = ZoneId("bergen-a"),
                listen = address,
                controls = listOf(control.address),
                drainMillis = 200,
            ),
        ).start()

    @AfterEach
    fun stop() {
        agent.stop()
        control.stop()
    }

    /** Submits one task on a new connection. Returns the status line and its body, or null without a whole response. */
    private fun call(id: SubmissionId): String? {
        val job = JobSubmission(id, ServiceId("desk"), listOf(TaskSpecification(id = "t", payload = "p")))
        val body = WireJson.encodeToString(JobSubmission.serializer(), job)
        return try {
            Socket("127.0.0.1", address.port).use { socket ->
                val head = "POST /v1/jobs HTTP/1.1\r\nHost: $address\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n"
                socket.getOutputStream().write((head + body).toByteArray())
                val text = socket.getInputStream().readAllBytes().decodeToString()
                text.takeIf { it.startsWith("HTTP/1.1 ") && it.substringAfter("\r\n\r\n", "").endsWith("}") }
            }
        } catch (_: IOException) {
            null
        }
    }

    @Nested
    inner class `An entry that ends while callers go on` {
        @Test
        fun `holds no claim on a call that got no whole response`() =
            runBlocking {
                withTimeout(60.seconds) {
                    agent.start()
                    while (!entry.isReady()) delay(5)
                    val responses = ConcurrentHashMap<SubmissionId, String>()
                    val hasEnded = AtomicBoolean()
                    withContext(Dispatchers.IO) {
                        val callers =
                            List(CALLERS) {
                                async {
                                    while (!hasEnded.get()) {
                                        val id = SubmissionId.create(Instant.now())
                                        responses[id] = call(id).orEmpty()
                                    }
                                }
                            }
                        delay(300)
                        entry.stop()
                        hasEnded.set(true)
                        callers.awaitAll()
                    }
                    val cut = responses.filterValues { it.isEmpty() }.keys
                    assertTrue(responses.size > cut.size, "calls that were answered")
                    assertEquals(emptySet(), cut.filter { control.held.containsKey(it) }.toSet(), "claims of ${cut.size} cut calls")
                }
            }
    }

    private companion object {
        const val CALLERS = 4
    }
}
