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

class EntryCallsTest {
    /** An entry that counts its calls. */
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

    private fun EntryCalls.callTwice() = runBlocking { repeat(2) { cancel(SubmissionId.create(Instant.EPOCH)) } }

    private fun EntryCalls.checkNow() = runBlocking { checkReadiness() }

    @Test
    fun `an entry that is not ready or gone is skipped, and called again once it is ready`() =
        EntryCalls(entries.map { it.url }).use { calls ->
            calls.callTwice()
            assertEquals(listOf(1, 1), entries.map { it.calls.get() })
            entries[0].isReady = false
            calls.checkNow()
            calls.callTwice()
            assertEquals(listOf(1, 3), entries.map { it.calls.get() })
            entries[0].isReady = true
            entries[1].stop()
            calls.checkNow()
            calls.callTwice()
            assertEquals(listOf(3, 3), entries.map { it.calls.get() })
            entries[0].stop()
        }
}
