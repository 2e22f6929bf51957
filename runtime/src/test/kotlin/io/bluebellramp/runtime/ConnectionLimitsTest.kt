package io.bluebellramp.runtime

import io.bluebellramp.core.Address
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.post
import io.ktor.server.websocket.webSocket
import io.ktor.websocket.Frame
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.delay
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val READ_TIMEOUT_MILLIS = 10_000
private const val POLL_MILLIS = 20L

/** Longer than each time limit of the server, which in turn are long enough for a busy machine (ms). */
private const val RESPONSE_DELAY_MILLIS = 4_000L

/** Tests [ConnectionLimits] on a real server with short limits. */
class ConnectionLimitsTest {
    private val port = ServerSocket(0).use { it.localPort }
    private val health =
        object : Health {
            override fun isReady() = true
        }
    private val limits = ConnectionLimits(maxConnections = 3, request = 1.seconds, idleTimeout = 3.seconds, headerBytes = 1_024)
    private val server =
        httpServer(Address("127.0.0.1:$port"), health, PrometheusRegistry(), limits = limits) {
            post("/held") {
                val text = call.receiveText()
                delay(RESPONSE_DELAY_MILLIS)
                call.respondText(text)
            }
            webSocket("/socket") {
                delay(RESPONSE_DELAY_MILLIS)
                send(Frame.Text("news"))
            }
        }.start(wait = false)

    @AfterEach
    fun stop() = server.stop(0, 0)

    private fun connect() = Socket("127.0.0.1", port).apply { soTimeout = READ_TIMEOUT_MILLIS }

    /** Sends [text] and returns everything received until the server closes the connection. */
    private fun exchange(text: String) =
        connect().use {
            it.getOutputStream().write(text.toByteArray())
            it.getInputStream().readBytes().toString(Charsets.UTF_8)
        }

    private fun status(text: String) = exchange(text).split(' ').getOrNull(1)

    @Nested
    inner class `A caller` {
        @Test
        fun `that sends headers or a body too slowly gets 408`() {
            assertEquals("408", status("POST /held HTTP/1.1\r\nHost"))
            assertEquals("408", status("POST /held HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo"))
        }

        @Test
        fun `whose headers are too large is rejected`() {
            val status = status("GET /live HTTP/1.1\r\nHost: x\r\nFill: ${"x".repeat(2_000)}\r\n\r\n")
            assertTrue(status in setOf("400", "431"), status)
        }

        @Test
        fun `that waits for a delayed response receives it, and the idle connection is closed afterwards`() {
            val text = exchange("POST /held HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
            assertTrue(text.startsWith("HTTP/1.1 200 ") && text.endsWith("body"), text)
        }

        @Test
        fun `above the connection limit is rejected, and accepted once another one has disconnected`() {
            val openConnections = List(limits.maxConnections) { connect() }
            openConnections.forEach {
                it.getOutputStream().write("GET /live HTTP/1.1\r\nHost: x\r\n\r\n".toByteArray())
                assertEquals('H'.code, it.getInputStream().read())
                it.getOutputStream().write("POST /held HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na".toByteArray())
            }
            assertEquals(null, liveStatus())
            openConnections.forEach { it.close() }
            val statuses =
                generateSequence { Thread.sleep(POLL_MILLIS).let { liveStatus() ?: "" } }
                    .take(READ_TIMEOUT_MILLIS / POLL_MILLIS.toInt())
            assertEquals("200", statuses.first { it.isNotEmpty() })
        }

        /** Returns the status of a call to `/live`, or null if the connection was closed without a response. */
        private fun liveStatus() =
            try {
                status("GET /live HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            } catch (_: IOException) {
                null
            }
    }

    @Nested
    inner class `A WebSocket` {
        @Test
        fun `without traffic for longer than the time limits stays open`() {
            val upgrade =
                "GET /socket HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n" +
                    "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n"
            connect().use { socket ->
                socket.getOutputStream().write(upgrade.toByteArray())
                val received = StringBuilder()
                while ("news" !in received) {
                    val byte = socket.getInputStream().read()
                    if (byte < 0) break
                    received.append(byte.toChar())
                }
                assertTrue("news" in received, received.toString())
            }
        }
    }
}
