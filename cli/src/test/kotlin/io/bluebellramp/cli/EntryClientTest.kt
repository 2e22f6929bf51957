package io.bluebellramp.cli

import io.bluebellramp.core.Address
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorCode
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

    @Nested
    inner class `An entry that refuses early` {
        @Test
        fun `says not run, whatever the status`() {
            val entry = FakeEntry(answer = """{"submission":"$id","outcome":"not_run"}""", status = 429)
            listOf(entry).use {
                val result = runBlocking { httpLink().use { EntryClient(it, listOf(entry.address)).submit(job) } }
                assertEquals(AnswerOutcome.NOT_RUN, assertIs<CallResult.Answered<Answer>>(result).value.outcome)
            }
        }
    }

    @Nested
    inner class `An entry that started nothing and owns nothing` {
        @Test
        fun `is passed over for the next one with the same id`() {
            for (code in listOf("leaving", "not_ready", "claims_unavailable", "owner_unreachable")) {
                val first = FakeEntry(answer = """{"code":"$code","message":""}""", status = 503)
                val second = FakeEntry(answer = """{"submission":"$id","outcome":"complete","results":[]}""")
                listOf(first, second).use {
                    val result = runBlocking { httpLink().use { EntryClient(it, listOf(first.address, second.address)).submit(job) } }
                    assertEquals(AnswerOutcome.COMPLETE, assertIs<CallResult.Answered<Answer>>(result, code).value.outcome)
                    assertEquals(first.bodies, second.bodies)
                }
            }
        }
    }

    @Nested
    inner class `A cancel` {
        private val unknown = """{"code":"not_found","message":"This entry does not know $id."}"""

        @Test
        fun `goes on to the entry that knows the id`() {
            val first = FakeEntry(answer = unknown, status = 404)
            val second = FakeEntry(answer = """{"submission":"$id","outcome":"not_run"}""")
            listOf(first, second).use {
                val result = runBlocking { httpLink().use { EntryClient(it, listOf(first.address, second.address)).cancel(id) } }
                assertEquals(AnswerOutcome.NOT_RUN, assertIs<CallResult.Answered<Answer>>(result).value.outcome)
            }
        }

        @Test
        fun `asks each entry once when none knows the id`() {
            val entries = List(2) { FakeEntry(answer = unknown, status = 404) }
            entries.use {
                val result = runBlocking { httpLink().use { http -> EntryClient(http, entries.map { it.address }).cancel(id) } }
                assertEquals(ErrorCode.NOT_FOUND, assertIs<CallResult.Refused>(result).error.code)
                assertEquals(listOf(1, 1), entries.map { it.bodies.size })
            }
        }
    }

    @Nested
    inner class `Progress` {
        @Test
        fun `is that of the entry that says it`() {
            val silent = FakeEntry(answer = """{"submission":"$id"}""", status = 202)
            val owner = FakeEntry(answer = """{"submission":"$id","tasks":5,"tasksDone":2}""", status = 202)
            listOf(silent, owner).use {
                val pending = runBlocking { httpLink().use { EntryClient(it, listOf(silent.address, owner.address)).progress(id) } }
                assertEquals(5 to 2, pending?.tasks to pending?.tasksDone)
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
        private val status: Int = 200,
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
                    .firstOrNull { it.startsWith("content-length", ignoreCase = true) }
                    ?.substringAfter(':')
                    ?.trim()
                    ?.toInt() ?: 0
            val body = CharArray(length)
            var read = 0
            while (read < length) read += reader.read(body, read, length - read)
            bodies += String(body)
            val text = answer ?: return
            val head =
                "HTTP/1.1 $status Status\r\nContent-Type: application/json\r\n" +
                    "Content-Length: ${text.length}\r\nConnection: close\r\n\r\n"
            socket.getOutputStream().write((head + text).toByteArray())
        }

        override fun close() = server.close()
    }
}
