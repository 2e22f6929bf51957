package io.bluebellramp.cli

import io.bluebellramp.core.Address
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.TaskSpecification
import io.bluebellramp.runtime.httpLink
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import java.io.Closeable
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.time.Instant
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs

class EntryClientTest {
    private val id = SubmissionId.create(Instant.EPOCH, high = 1, low = 2)
    private val job = JobSubmission(submission = id, service = ServiceId("s"), tasks = listOf(TaskSpecification(id = "a", payload = "p")))

    @Nested
    inner class `An entry that dies after reading the submission` {
        @Test
        fun `gets it once, and the next entry gets the same id`() {
            val dying = FakeEntry(answer = null)
            val living = FakeEntry(answer = """{"submission":"$id","outcome":"complete","results":[]}""")
            listOf(dying, living).use {
                val result = runBlocking { httpLink().use { EntryClient(it, listOf(dying.address, living.address)).submit(job) } }
                assertEquals(AnswerOutcome.COMPLETE, assertIs<CallResult.Answered<Answer>>(result).value.outcome)
                assertEquals(1, dying.bodies.size)
                assertEquals(dying.bodies, living.bodies)
            }
        }
    }

    private fun List<Closeable>.use(block: () -> Unit) =
        try {
            block()
        } finally {
            forEach { it.close() }
        }

    /** Reads each request whole, then answers it, or closes the connection without an answer. */
    private class FakeEntry(
        private val answer: String?,
    ) : Closeable {
        private val server = ServerSocket(0, 50, InetAddress.getLoopbackAddress())
        val bodies = CopyOnWriteArrayList<String>()
        val address = Address("127.0.0.1:${server.localPort}")

        init {
            thread(isDaemon = true) {
                runCatching {
                    while (true) server.accept().use(::serve)
                }
            }
        }

        private fun serve(socket: Socket) {
            val reader = socket.getInputStream().bufferedReader()
            val headers = generateSequence { reader.readLine()?.ifEmpty { null } }.toList()
            val length =
                headers
                    .first { it.startsWith("content-length", ignoreCase = true) }
                    .substringAfter(':')
                    .trim()
                    .toInt()
            val body = CharArray(length)
            var read = 0
            while (read < length) read += reader.read(body, read, length - read)
            bodies += String(body)
            val text = answer ?: return
            val head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${text.length}\r\nConnection: close\r\n\r\n"
            socket.getOutputStream().write((head + text).toByteArray())
        }

        override fun close() = server.close()
    }
}
