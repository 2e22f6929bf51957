package io.bluebellramp.agent

import io.bluebellramp.core.Address
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A target on a plain socket that counts the requests it has read.
 *
 * @param response returns the response to a request, given the number of the request from 1
 */
internal class RawTarget(
    private val response: (Int) -> RawResponse,
) : AutoCloseable {
    private val server = ServerSocket(0)
    private val sockets = ArrayList<Socket>()
    val requests = AtomicInteger()
    val address = Address("127.0.0.1:${server.localPort}")

    init {
        thread(isDaemon = true) { while (!server.isClosed) accept() }
    }

    override fun close() {
        server.close()
        synchronized(sockets) { sockets.forEach(Socket::close) }
    }

    private fun accept() {
        val socket = runCatching { server.accept() }.getOrNull() ?: return
        synchronized(sockets) { sockets += socket }
        thread(isDaemon = true) { runCatching { serve(socket) } }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().buffered()
        while (true) {
            var length = 0
            while (true) {
                val line = generateSequence { input.read().takeIf { it >= 0 && it != '\n'.code }?.toChar() }.joinToString("").trim()
                if (line.isEmpty()) break
                if (line.startsWith("content-length:", ignoreCase = true)) length = line.substringAfter(':').trim().toInt()
            }
            if (length == 0) return socket.close()
            input.readNBytes(length)
            val response = response(requests.incrementAndGet())
            socket.getOutputStream().write(response.text.toByteArray())
            if (!response.keepOpen) return socket.close()
        }
    }
}

/** The bytes of a response, and whether the connection stays open after them. */
internal class RawResponse(
    val text: String,
    val keepOpen: Boolean,
) {
    companion object {
        val CLOSE = RawResponse("", keepOpen = false)
        val NO_RESPONSE = RawResponse("", keepOpen = true)

        fun ok(
            body: String,
            length: Int = body.length,
            keepOpen: Boolean = true,
        ) = RawResponse("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: $length\r\n\r\n$body", keepOpen)
    }
}
