package io.bluebellramp.cli

import io.bluebellramp.core.Address
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.TaskSpecification
import io.bluebellramp.runtime.createHttpClient
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
    inner class `An entry that closes the connection after reading the submission` {
        @Test
        fun `receives it once, and the next entry receives it with the same id`() {
            val disconnecting = FakeEntry(answer = null)
            val healthy = FakeEntry(answer = """{"submission":"$id","outcome":"complete","results":[]}""")
            listOf(disconnecting, healthy).useAll {
                val result =
                    runBlocking { createHttpClient().use { EntryClient(it, listOf(disconnecting.address, healthy.address)).submit(job) } }
                assertEquals(AnswerOutcome.COMPLETE, assertIs<CallResult.Success<Answer>>(result).value.outcome)
                assertEquals(1, disconnecting.bodies.size)
                assertEquals(disconnecting.bodies, healthy.bodies)
            }
        }
    }

    @Nested
    inner class `An entry that answers not run with an error status` {
        @Test
        fun `gives an answer, not a refusal`() {
            val entry = FakeEntry(answer = """{"submission":"$id","outcome":"not_run"}""", status = 429)
            listOf(entry).useAll {
                val result = runBlocking { createHttpClient().use { EntryClient(it, listOf(entry.address)).submit(job) } }
                assertEquals(AnswerOutcome.NOT_RUN, assertIs<CallResult.Success<Answer>>(result).value.outcome)
            }
        }
    }

    @Nested
    inner class `An entry that refuses a submission without starting it` {
        @Test
        fun `is skipped, and the next entry receives the same id`() {
            for (code in listOf("leaving", "not_ready", "claims_unavailable", "owner_unreachable")) {
                val first = FakeEntry(answer = """{"code":"$code","message":""}""", status = 503)
                val second = FakeEntry(answer = """{"submission":"$id","outcome":"complete","results":[]}""")
                listOf(first, second).useAll {
                    val result =
                        runBlocking { createHttpClient().use { EntryClient(it, listOf(first.address, second.address)).submit(job) } }
                    assertEquals(AnswerOutcome.COMPLETE, assertIs<CallResult.Success<Answer>>(result, code).value.outcome)
                    assertEquals(first.bodies, second.bodies)
                }
            }
        }
    }

    @Nested
    inner class `A cancellation` {
        private val unknownIdError = """{"code":"not_found","message":"This entry does not know $id."}"""

        @Test
        fun `is sent to the next entry if the first does not know the id`() {
            val first = FakeEntry(answer = unknownIdError, status = 404)
            val second = FakeEntry(answer = """{"submission":"$id","outcome":"not_run"}""")
            listOf(first, second).useAll {
                val result = runBlocking { createHttpClient().use { EntryClient(it, listOf(first.address, second.address)).cancel(id) } }
                assertEquals(AnswerOutcome.NOT_RUN, assertIs<CallResult.Success<Answer>>(result).value.outcome)
            }
        }

        @Test
        fun `is sent to each entry once if none knows the id`() {
            val entries = List(2) { FakeEntry(answer = unknownIdError, status = 404) }
            entries.useAll {
                val result = runBlocking { createHttpClient().use { http -> EntryClient(http, entries.map { it.address }).cancel(id) } }
                assertEquals(ErrorCode.NOT_FOUND, assertIs<CallResult.Refused>(result).error.code)
                assertEquals(listOf(1, 1), entries.map { it.bodies.size })
            }
        }
    }

    @Nested
    inner class `Progress` {
        @Test
        fun `comes from the entry that reports the number of finished tasks`() {
            val withoutCounts = FakeEntry(answer = """{"submission":"$id"}""", status = 202)
            val owner = FakeEntry(answer = """{"submission":"$id","tasks":5,"tasksDone":2}""", status = 202)
            listOf(withoutCounts, owner).useAll {
                val pending =
                    runBlocking { createHttpClient().use { EntryClient(it, listOf(withoutCounts.address, owner.address)).progress(id) } }
                assertEquals(5 to 2, pending?.tasks to pending?.tasksDone)
            }
        }
    }

    private fun List<Closeable>.useAll(block: () -> Unit) =
        try {
            block()
        } finally {
            forEach { it.close() }
        }

    /** Reads each request in full, then sends [answer], or closes the connection without one if it is null. */
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
