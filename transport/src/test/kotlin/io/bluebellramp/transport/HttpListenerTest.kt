package io.bluebellramp.transport

import io.bluebellramp.core.Address
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

class HttpListenerTest {
    private val loop = EventLoop()
    private val address = Address("127.0.0.1:${freePort()}")
    private val calls = LinkedBlockingQueue<HttpCall>()
    private val listener = HttpListener(loop, address, { HttpLimits(headerBytes = 512, bodyBytes = 100) }) { calls.add(it) }

    @AfterEach
    fun close() = loop.close()

    private fun freePort() = ServerSocket(0).use { it.localPort }

    /** Connects once the listener stands. */
    private fun connect(): Socket {
        listener.start()
        repeat(100) {
            try {
                return Socket(address.host, address.port).apply { soTimeout = 5000 }
            } catch (_: java.net.ConnectException) {
                TimeUnit.MILLISECONDS.sleep(20)
            }
        }
        error("the listener does not listen")
    }

    private fun Socket.send(text: String) = getOutputStream().apply { write(text.toByteArray()) }.flush()

    private fun Socket.readStatus(): String = getInputStream().bufferedReader().readLine().orEmpty()

    private fun next() = assertNotNull(calls.poll(5, TimeUnit.SECONDS), "no call came")

    @Nested
    inner class Answers {
        @Test
        fun `requests of a connection are answered in order`() {
            connect().use { socket ->
                socket.send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n")
                val first = next()
                assertEquals("hi", first.body.decodeToString())
                assertEquals(0, calls.size)
                loop.execute { first.answer(HttpAnswer(200, "one")) }
                val second = next()
                assertEquals("/b", second.path)
                loop.execute { second.answer(HttpAnswer(404, closes = true)) }
                val text = socket.getInputStream().readBytes().decodeToString()
                assertTrue("200 OK" in text && "404 Not Found" in text && text.indexOf("200") < text.indexOf("404"), text)
            }
        }

        @Test
        fun `a caller that leaves is noticed before its answer`() {
            val gone = CountDownLatch(1)
            connect().use { socket ->
                socket.send("GET /a HTTP/1.1\r\n\r\n")
                val call = next()
                loop.execute { call.onGone { gone.countDown() } }
            }
            assertTrue(gone.await(5, TimeUnit.SECONDS))
        }

        @Test
        fun `a listener whose connections are all taken leaves another one of the process its own`() {
            val callers = Address("127.0.0.1:${freePort()}")
            HttpListener(loop, callers, { HttpLimits(connections = MOST) }) { calls.add(it) }.start()
            connect().use { metrics ->
                val idle = List(MOST + 20) { Socket(callers.host, callers.port).apply { soTimeout = 5000 } }
                assertEquals(-1, idle.last().getInputStream().read(), "one more than the bound is closed at once")
                metrics.send("GET /metrics HTTP/1.1\r\n\r\n")
                val call = next()
                loop.execute { call.answer(HttpAnswer(200, "fine")) }
                assertTrue("200" in metrics.readStatus())
                idle.forEach { it.close() }
            }
        }

        @Test
        fun `draining lets the request under way end and closes the connection after it`() {
            connect().use { socket ->
                socket.send("GET /a HTTP/1.1\r\n\r\n")
                val call = next()
                loop.execute {
                    listener.drain()
                    call.answer(HttpAnswer(200, "done"))
                }
                val text = socket.getInputStream().readBytes().decodeToString()
                assertTrue("connection: close" in text.lowercase() && text.endsWith("done"), text)
            }
        }
    }

    @Nested
    inner class BadInput {
        @Test
        fun `a body over the limit is refused`() {
            connect().use { socket ->
                socket.send("POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + "x".repeat(101))
                assertTrue("413" in socket.readStatus())
            }
        }

        @Test
        fun `a head over the limit is refused`() {
            connect().use { socket ->
                socket.send("GET /a HTTP/1.1\r\nX-Large: ${"x".repeat(600)}\r\n\r\n")
                assertTrue("431" in socket.readStatus())
            }
        }

        @Test
        fun `what is no HTTP is refused`() {
            connect().use { socket ->
                socket.send("\u0001\u0002 nonsense\r\n\r\n")
                assertTrue("400" in socket.readStatus())
            }
        }
    }

    private companion object {
        /** Connections that the callers' listener takes in the test; the bound of the product is larger. */
        const val MOST = 200
    }
}
