package io.bluebellramp.control

import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.io.BufferedReader
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFails

class BoundHttpClientTest {
    /** Answers the first request of each connection, and closes the connection without a response after reading the second. */
    private class ClosingServer : AutoCloseable {
        private val server = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
        val requests = AtomicInteger()
        val sources = ConcurrentLinkedQueue<String>()
        val url = "http://127.0.0.1:${server.localPort}/"

        init {
            thread(isDaemon = true) {
                runCatching {
                    while (true) {
                        val socket = server.accept()
                        sources += socket.inetAddress.hostAddress
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
            val head = generateSequence { reader.readLine()?.ifEmpty { null } }.toList()
            if (head.isEmpty()) return
            val length = head.first { it.startsWith("content-length", ignoreCase = true) }.substringAfter(':')
            repeat(length.trim().toInt()) { reader.read() }
            requests.incrementAndGet()
        }

        override fun close() = server.close()
    }

    @Nested
    inner class `A client that is bound to an IP address` {
        @Test
        fun `sends from that address, reuses its connection, and never retries a request`() {
            ClosingServer().use { server ->
                runBlocking {
                    boundHttpClient("127.0.0.11").use { http ->
                        assertEquals("ok", http.post(server.url) { setBody("first") }.bodyAsText())
                        assertFails { http.post(server.url) { setBody("second") } }
                    }
                }
                assertEquals(2, server.requests.get())
                assertEquals(listOf("127.0.0.11"), server.sources.toList())
            }
        }
    }
}
