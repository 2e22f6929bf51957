package io.bluebellramp.transport

import io.bluebellramp.core.Address
import org.junit.jupiter.api.AfterEach
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class HttpConnectionPoolTest {
    private val loop = EventLoop()
    private val serverLoop = EventLoop()
    private val address = Address("127.0.0.1:${freePort()}")
    private val busyAddress = Address("127.0.0.1:${freePort()}")
    private val pool = HttpConnectionPool(loop, address)
    private val results = LinkedBlockingQueue<HttpResult>()

    @AfterEach
    fun close() {
        loop.close()
        serverLoop.close()
    }

    private fun freePort() = ServerSocket(0).use { it.localPort }

    private fun post(timeout: Duration) = pool.post("/order", "{}", emptyMap(), timeout) { results += it }

    private fun startServer(handler: HttpHandler) {
        HttpServer(serverLoop, address, { HttpLimits() }, handler = handler).start()
        awaitListener(address)
    }

    private fun awaitListener(listener: Address) {
        repeat(250) {
            try {
                return Socket(listener.host, listener.port).close()
            } catch (_: java.net.ConnectException) {
                TimeUnit.MILLISECONDS.sleep(20)
            }
        }
        error("nothing listens on $listener")
    }

    /** Runs [action] on the loop while it processes input, and then keeps the loop busy for [time]. */
    private fun whileBusy(
        time: Duration,
        action: () -> Unit,
    ) {
        HttpServer(loop, busyAddress, { HttpLimits() }) {
            action()
            Thread.sleep(time.inWholeMilliseconds)
        }.start()
        awaitListener(busyAddress)
        Socket(busyAddress.host, busyAddress.port).use { socket ->
            socket.getOutputStream().apply { write("GET / HTTP/1.1\r\n\r\n".toByteArray()) }.flush()
            TimeUnit.MILLISECONDS.sleep(time.inWholeMilliseconds)
        }
    }

    private fun nextResult() = results.poll(10, TimeUnit.SECONDS)

    @Test
    fun `an answer that arrived while the process was busy is not taken for a missing one`() {
        startServer { it.respond(HttpResponse(200, "started")) }
        loop.execute { post(5.seconds) }
        assertEquals(HttpResult.Response(200, "started"), nextResult())
        whileBusy(300.milliseconds) { post(60.milliseconds) }
        assertEquals(HttpResult.Response(200, "started"), nextResult())
        assertEquals(1, pool.connectionsOpened)
    }

    @Test
    fun `a connection that opened while the process was busy is used`() {
        startServer { it.respond(HttpResponse(200, "started")) }
        whileBusy(300.milliseconds) { post(60.milliseconds) }
        assertEquals(HttpResult.Response(200, "started"), nextResult())
    }

    @Test
    fun `a request without an answer ends when its time is up`() {
        startServer { }
        val startedAt = System.nanoTime()
        loop.execute { post(60.milliseconds) }
        assertEquals(HttpResult.NoResponse, nextResult())
        assertEquals(true, System.nanoTime() - startedAt >= 60_000_000)
    }

    @Test
    fun `a request arrives with its path, headers and body`() {
        startServer { call ->
            val parts = listOf(call.method, call.path, call.header("Expect-Instance"), call.body.decodeToString())
            call.respond(HttpResponse(200, parts.joinToString("|")))
        }
        loop.execute { pool.post("/order", """{"task":"ä"}""", mapOf("Expect-Instance" to "i-1"), 5.seconds) { results += it } }
        assertEquals(HttpResult.Response(200, """POST|/order|i-1|{"task":"ä"}"""), nextResult())
    }

    @Test
    fun `a header that would add another one is not sent`() {
        startServer { it.respond(HttpResponse(200, "")) }
        loop.execute { pool.post("/order", "{}", mapOf("Expect-Instance" to "i-1\r\nOther: x"), 60.milliseconds) { results += it } }
        assertEquals(HttpResult.NoResponse, nextResult())
    }

    @Test
    fun `a request to an address where nothing listens is not sent`() {
        loop.execute { post(5.seconds) }
        assertEquals(HttpResult.NotSent, nextResult())
    }
}
