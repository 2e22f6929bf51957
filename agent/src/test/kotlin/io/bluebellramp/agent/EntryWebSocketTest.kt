package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.runtime.createHttpClient
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Timeout
import java.net.ServerSocket
import java.security.MessageDigest
import java.util.Base64
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds

private const val TEST_TIMEOUT_SECONDS = 30L
private const val WEBSOCKET_GUID = "258EAFA5-E914-47DA-95CA-C5AB0DC85B11"

class EntryWebSocketTest {
    @Nested
    inner class `a connection` {
        @Test
        @Timeout(TEST_TIMEOUT_SECONDS)
        fun `ends when the entry stops answering without closing it`() {
            ServerSocket(0).use { server ->
                thread(isDaemon = true) { completeHandshakeAndStopAnswering(server) }
                createHttpClient().use { client ->
                    val connection =
                        EntryWebSocket(
                            id = ConnectionId(1),
                            address = Address("127.0.0.1:${server.localPort}"),
                            client = client,
                            metrics = AgentMetrics(PrometheusRegistry()),
                            pingInterval = 50.milliseconds,
                            pingTimeout = 100.milliseconds,
                        )
                    assertTrue(runBlocking { connection.run(onOpened = {}, onFrame = {}) }, "the connection was open")
                }
            }
        }
    }

    private fun completeHandshakeAndStopAnswering(server: ServerSocket) {
        val socket = server.accept()
        val lines = socket.getInputStream().bufferedReader().lineSequence()
        val headers = lines.takeWhile { it.isNotEmpty() }.toList()
        val key = headers.first { it.startsWith("sec-websocket-key:", ignoreCase = true) }.substringAfter(':').trim()
        val digest = MessageDigest.getInstance("SHA-1").digest((key + WEBSOCKET_GUID).toByteArray())
        val accept = Base64.getEncoder().encodeToString(digest)
        val answer =
            listOf("HTTP/1.1 101 Switching Protocols", "Upgrade: websocket", "Connection: Upgrade", "Sec-WebSocket-Accept: $accept", "", "")
                .joinToString("\r\n")
        socket.getOutputStream().write(answer.toByteArray())
        while (socket.getInputStream().read() >= 0) continue
    }
}
