package io.bluebellramp.runtime

import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails

class CreateHttpClientTest {
    /** Responds to the first request of each connection and closes the connection after reading a second one. */
    private class ClosingServer : AutoCloseable {
        private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val requests = AtomicInteger()
        val connections = AtomicInteger()
        val url = "http://127.0.0.1:${server.localPort}/"

        init {
            thread(isDaemon = true) {
                runCatching {
                    while (true) {
                        val socket = server.accept()
                        connections.incrementAndGet()
                        thread(isDaemon = true) { socket.use(::serve) }
                    }
                }
            }
        }

        private fun serve(socket: Socket) {
            val reader = socket.getInputStream().bufferedReader()
            readRequest(reader)
            socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".toByteArray())
            readRequest(reader)
        }

        private fun readRequest(reader: BufferedReader) {
            val headerLines = generateSequence { reader.readLine()?.ifEmpty { null } }.toList()
            if (headerLines.isEmpty()) return
            val length =
                headerLines
                    .first { it.startsWith("content-length", ignoreCase = true) }
                    .substringAfter(':')
                    .trim()
                    .toInt()
            repeat(length) { reader.read() }
            requests.incrementAndGet()
        }

        override fun close() = server.close()
    }

    @Nested
    inner class `A reused connection that the server closes after reading the request` {
        @Test
        fun `fails the call without sending the request again`() {
            ClosingServer().use { server ->
                runBlocking {
                    createHttpClient().use { http ->
                        assertEquals("ok", http.post(server.url) { setBody("first") }.bodyAsText())
                        assertFails { http.post(server.url) { setBody("second") } }
                    }
                }
                assertEquals(2, server.requests.get())
                assertEquals(1, server.connections.get())
            }
        }
    }
}
