package io.bluebellramp.bench

import io.bluebellramp.core.SubmissionId
import io.ktor.http.HttpStatusCode
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.response.respond
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import java.time.Instant
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.Test
import kotlin.test.assertEquals

class EntryClientTest {
    /** Fake entry that counts the calls it receives. */
    private class FakeEntry {
        @Volatile
        var isReady = true
        val calls = AtomicInteger()
        private val server =
            embeddedServer(Netty, host = "127.0.0.1", port = 0) {
                routing {
                    get("/ready") { call.respond(if (isReady) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable) }
                    post("/v1/jobs/{id}/cancel") {
                        calls.incrementAndGet()
                        call.respond(HttpStatusCode.OK)
                    }
                }
            }.start()

        val url get() = runBlocking { "http://127.0.0.1:${server.engine.resolvedConnectors().first().port}" }

        fun stop() = server.stop(0, 0)
    }

    private val entries = List(2) { FakeEntry() }

    private fun EntryClient.sendTwoCalls() = runBlocking { repeat(2) { cancel(SubmissionId.create(Instant.EPOCH)) } }

    private fun EntryClient.updateReadiness() = runBlocking { checkReadiness() }

    @Test
    fun `entries that are not ready or unreachable are skipped, and called again once they are ready`() =
        EntryClient(entries.map { it.url }).use { calls ->
            calls.sendTwoCalls()
            assertEquals(listOf(1, 1), entries.map { it.calls.get() })
            entries[0].isReady = false
            calls.updateReadiness()
            calls.sendTwoCalls()
            assertEquals(listOf(1, 3), entries.map { it.calls.get() })
            entries[0].isReady = true
            entries[1].stop()
            calls.updateReadiness()
            calls.sendTwoCalls()
            assertEquals(listOf(3, 3), entries.map { it.calls.get() })
            entries[0].stop()
        }
}
