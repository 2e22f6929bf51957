package io.bluebellramp.agent

import io.bluebellramp.core.Address
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/**
 * A target on a plain socket that counts the requests it has read and answers each as [answer] says.
 *
 * @param answer given the number of the request from 1, the bytes to write before the connection is closed or kept
 */
internal class RawTarget(
    private val answer: (Int) -> RawAnswer,
) : AutoCloseable {
    private val server = ServerSocket(0)
    private val open = ArrayList<Socket>()
    val requests = AtomicInteger()
    val address = Address("127.0.0.1:${server.localPort}")

    init {
        thread(isDaemon = true) { while (!server.isClosed) accept() }
    }

    override fun close() {
        server.close()
        synchronized(open) { open.forEach(Socket::close) }
    }

    private fun accept() {
        val socket = runCatching { server.accept() }.getOrNull() ?: return
        synchronized(open) { open += socket }
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
            val answer = answer(requests.incrementAndGet())
            socket.getOutputStream().write(answer.text.toByteArray())
            if (!answer.keeps) return socket.close()
        }
    }
}

/** Bytes of an answer, and whether the connection stays open after them. */
internal class RawAnswer(
    val text: String,
    val keeps: Boolean,
) {
    companion object {
        val CLOSE = RawAnswer("", keeps = false)
        val SILENCE = RawAnswer("", keeps = true)

        fun ok(
            body: String,
            length: Int = body.length,
            keeps: Boolean = true,
        ) = RawAnswer("HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: $length\r\n\r\n$body", keeps)
    }
}
