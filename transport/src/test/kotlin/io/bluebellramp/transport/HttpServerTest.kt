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

class HttpServerTest {
    private val loop = EventLoop()
    private val address = Address("127.0.0.1:${freePort()}")
    private val calls = LinkedBlockingQueue<HttpCall>()

    @Volatile
    private var keepsConnections = true
    private val server =
        HttpServer(loop, address, { HttpLimits(maxHeaderBytes = 512, maxBodyBytes = 100) }, { _, _ -> keepsConnections }) { calls.add(it) }

    @AfterEach
    fun close() = loop.close()

    private fun freePort() = ServerSocket(0).use { it.localPort }

    /** Starts the server and connects to it, with retries until it listens. */
    private fun connect(): Socket {
        server.start()
        repeat(100) {
            try {
                return Socket(address.host, address.port).apply { soTimeout = 5000 }
            } catch (_: java.net.ConnectException) {
                TimeUnit.MILLISECONDS.sleep(20)
            }
        }
        error("the server accepts no connection")
    }

    private fun Socket.send(text: String) = getOutputStream().apply { write(text.toByteArray()) }.flush()

    private fun Socket.readStatus(): String = getInputStream().bufferedReader().readLine().orEmpty()

    private fun nextCall() = assertNotNull(calls.poll(5, TimeUnit.SECONDS), "no call was received")

    @Nested
    inner class Retention {
        @Test
        fun `a connection that is not kept is closed after a reply that says so`() {
            keepsConnections = false
            connect().use { socket ->
                socket.send("GET /a HTTP/1.1\r\n\r\n")
                val call = nextCall()
                loop.execute { call.respond(HttpResponse(200, "one")) }
                val text = socket.getInputStream().readBytes().decodeToString()
                assertTrue("200 OK" in text && "connection: close" in text && text.endsWith("one"), text)
            }
        }

        @Test
        fun `a request that has arrived is served before its connection is closed`() {
            keepsConnections = false
            connect().use { socket ->
                socket.send("GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
                val first = nextCall()
                loop.execute { first.respond(HttpResponse(200, "one")) }
                val second = nextCall()
                loop.execute { second.respond(HttpResponse(200, "two")) }
                val text = socket.getInputStream().readBytes().decodeToString()
                assertTrue(text.endsWith("two") && text.split("connection: close").size == 2, text)
            }
        }
    }

    @Nested
    inner class Responses {
        @Test
        fun `requests of a connection are answered in order`() {
            connect().use { socket ->
                socket.send("POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n")
                val first = nextCall()
                assertEquals("hi", first.body.decodeToString())
                assertEquals(0, calls.size)
                loop.execute { first.respond(HttpResponse(200, "one")) }
                val second = nextCall()
                assertEquals("/b", second.path)
                loop.execute { second.respond(HttpResponse(404, closes = true)) }
                val text = socket.getInputStream().readBytes().decodeToString()
                assertTrue("200 OK" in text && "404 Not Found" in text && text.indexOf("200") < text.indexOf("404"), text)
            }
        }

        @Test
        fun `a caller that disconnects before its reply is detected`() {
            val disconnected = CountDownLatch(1)
            connect().use { socket ->
                socket.send("GET /a HTTP/1.1\r\n\r\n")
                val call = nextCall()
                loop.execute { call.onDisconnect { disconnected.countDown() } }
            }
            assertTrue(disconnected.await(5, TimeUnit.SECONDS))
        }

        // Guards against a job that runs at two entries because one of them read its submission after the caller had gone to the other.
        @Test
        fun `a request whose caller left while the process was paused is not handled`() {
            val first = connect()
            first.send("POST /first HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi")
            nextCall()
            val paused = CountDownLatch(1)
            loop.execute { paused.await(5, TimeUnit.SECONDS) }
            Socket(address.host, address.port).use { it.send("POST /left HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi") }
            val waiting = Socket(address.host, address.port).apply { soTimeout = 5000 }
            waiting.send("POST /waits HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi")
            paused.countDown()
            assertEquals("/waits", nextCall().path)
            assertEquals(null, calls.poll(300, TimeUnit.MILLISECONDS)?.path)
            first.close()
            waiting.close()
        }

        @Test
        fun `a server at its connection limit does not affect another server in the same process`() {
            val callerAddress = Address("127.0.0.1:${freePort()}")
            HttpServer(loop, callerAddress, { HttpLimits(maxConnections = MAX_CONNECTIONS) }) { calls.add(it) }.start()
            connect().use { metricsSocket ->
                val idleSockets = List(MAX_CONNECTIONS + 20) { Socket(callerAddress.host, callerAddress.port).apply { soTimeout = 5000 } }
                assertEquals(-1, idleSockets.last().getInputStream().read(), "a connection over the limit is closed at once")
                metricsSocket.send("GET /metrics HTTP/1.1\r\n\r\n")
                val call = nextCall()
                loop.execute { call.respond(HttpResponse(200, "fine")) }
                assertTrue("200" in metricsSocket.readStatus())
                idleSockets.forEach { it.close() }
            }
        }

        /** Guards against a caller that takes a refused body for a lost answer and sends it again. */
        @Test
        fun `a body that is too large is refused with a reason, which the caller reads after it has sent all of it`() {
            connect().use { socket ->
                socket.send("POST /a HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n")
                repeat(20) { socket.send("x".repeat(100_000)) }
                val lines = socket.getInputStream().bufferedReader()
                val head = generateSequence { lines.readLine().takeIf { it.isNotEmpty() } }.toList()
                assertTrue("413" in head.first(), "$head")
                assertTrue(head.any { it.equals("connection: close", ignoreCase = true) }, "$head")
                val reason = "{\"error\":\"the body exceeds 100 bytes\"}"
                assertEquals(reason, CharArray(reason.length).also { lines.read(it) }.concatToString())
                assertEquals(0, calls.size)
            }
        }

        @Test
        fun `draining lets the current request finish and then closes its connection`() {
            connect().use { socket ->
                socket.send("GET /a HTTP/1.1\r\n\r\n")
                val call = nextCall()
                loop.execute {
                    server.drain()
                    call.respond(HttpResponse(200, "done"))
                }
                val text = socket.getInputStream().readBytes().decodeToString()
                assertTrue("connection: close" in text.lowercase() && text.endsWith("done"), text)
            }
        }
    }

    @Nested
    inner class InvalidRequests {
        @Test
        fun `a body over the limit is refused`() {
            connect().use { socket ->
                socket.send("POST /a HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + "x".repeat(101))
                assertTrue("413" in socket.readStatus())
            }
        }

        @Test
        fun `headers over the limit are refused`() {
            connect().use { socket ->
                socket.send("GET /a HTTP/1.1\r\nX-Large: ${"x".repeat(600)}\r\n\r\n")
                assertTrue("431" in socket.readStatus())
            }
        }

        @Test
        fun `data that is not HTTP is refused`() {
            connect().use { socket ->
                socket.send("\u0001\u0002 nonsense\r\n\r\n")
                assertTrue("400" in socket.readStatus())
            }
        }
    }

    private companion object {
        /** Connection limit of the callers' server in the test; the default limit is larger. */
        const val MAX_CONNECTIONS = 200
    }
}
