package io.bluebellramp.entry

import io.bluebellramp.core.EntryId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.EntrySettings
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.runtime.createHttpClient
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.content.OutgoingContent
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.net.Socket
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val NESTING_DEPTH = 30_000
private const val JOBS_PATH = "/v1/jobs"
private const val REQUESTS_PATH = "/v1/requests"

class InvalidInputTest {
    private val local = LocalEntry()
    private val http = local.http
    private val address = local.address
    private val agent = FakeAgent(address, "a1") { it.done() }.start()

    @AfterEach
    fun stop() {
        agent.stop()
        local.stop()
    }

    /** An invalid body with the expected status, error code and paths of the violations. */
    private class Case(
        val name: String,
        val body: String,
        val status: Int,
        val code: ErrorCode,
        vararg val paths: String,
        val to: String = JOBS_PATH,
    )

    private fun case(
        name: String,
        body: String,
        vararg paths: String,
        to: String = JOBS_PATH,
    ) = Case(name, body, 400, ErrorCode.INVALID_BODY, *paths, to = to)

    private fun id(ageSeconds: Long = 0) = SubmissionId.create(Instant.now().minusSeconds(ageSeconds)).value

    private fun tasks(size: Int) = List(size) { """{"id":"t$it","payload":"p"}""" }.joinToString(",", "[", "]")

    private fun job(
        id: String = id(),
        service: String = "desk",
        tasks: String = tasks(2),
        more: String = "",
    ) = """{"submission":"$id","service":"$service","tasks":$tasks$more}"""

    private fun request(more: String) = """{"submission":"${id()}","service":"desk"$more}"""

    private val cases =
        listOf(
            case("no body", "", "$"),
            case("not JSON", "{", "$"),
            case("truncated JSON", job().dropLast(3), "$"),
            case("text after the JSON", job() + "}", "$"),
            case("JSON array in place of an object", "[]", "$"),
            case("deeply nested JSON", job(tasks = "[".repeat(NESTING_DEPTH) + "]".repeat(NESTING_DEPTH)), "$"),
            case("unknown field", job(more = ""","urgent":true"""), "$"),
            case("unknown field of a task", job(tasks = """[{"id":"a","payload":"p","size":1}]"""), "$.tasks[0]"),
            case("missing service", """{"submission":"${id()}","tasks":${tasks(1)}}""", "$"),
            case("missing payload", job(tasks = """[{"id":"a"}]"""), "$.tasks[0]"),
            case("string in place of the tasks", job(tasks = """"many""""), "$.tasks"),
            case("object in place of a payload", job(tasks = """[{"id":"a","payload":{}}]"""), "$.tasks[0].payload"),
            case("number in place of a string", job(tasks = """[{"id":"a","payload":7}]"""), "$.tasks[0].payload"),
            case("string in place of a number", job(more = ""","deadlineMillis":"1000""""), "$.deadlineMillis"),
            case(
                "quoted number in a task",
                job(tasks = """[{"id":"a","payload":"p","declaredMillis":"5"}]"""),
                "$.tasks[0].declaredMillis",
            ),
            case("quoted boolean", job(more = ""","idempotent":"true""""), "$.idempotent"),
            case("number out of range", job(more = ""","deadlineMillis":99999999999999999999"""), "$.deadlineMillis"),
            case("deadline of 0", job(more = ""","deadlineMillis":0"""), "$.deadlineMillis"),
            case("null in place of the service", """{"submission":"${id()}","service":null,"tasks":${tasks(1)}}""", "$.service"),
            case("empty job", job(tasks = "[]"), "$.tasks"),
            case("1,801 tasks", job(tasks = tasks(1_801)), "$.tasks"),
            case("duplicate task ids", job(tasks = """[{"id":"a","payload":""},{"id":"a","payload":""}]"""), "$.tasks[1].id"),
            case("payload over the limit", job(tasks = """[{"id":"a","payload":"${"x".repeat(65_537)}"}]"""), "$.tasks[0].payload"),
            case("malformed service", job(service = "De sk"), "$.service"),
            case("request without a payload", request(""), "$", to = REQUESTS_PATH),
            case("request with tasks", request(""","payload":"p","tasks":[]"""), "$", to = REQUESTS_PATH),
            Case("malformed id", job(id = "7"), 400, ErrorCode.INVALID_SUBMISSION, "$.submission"),
            Case(
                "id of UUID version 4",
                job(id = "0f8fad5b-d9cb-469f-a165-70867728950e"),
                400,
                ErrorCode.INVALID_SUBMISSION,
                "$.submission",
            ),
            Case("id with a time in the future", job(id = id(ageSeconds = -70)), 400, ErrorCode.INVALID_SUBMISSION, "$.submission"),
            Case("expired id", job(id = id(ageSeconds = 601)), 410, ErrorCode.EXPIRED_SUBMISSION, "$.submission"),
            Case("unknown service", job(service = "nobody"), 404, ErrorCode.UNKNOWN_SERVICE, "$.service"),
            Case(
                "task that fits no executor",
                job(tasks = """[{"id":"a","payload":"p","declaredMegabytes":1001}]"""),
                422,
                ErrorCode.NEVER_RUNNABLE,
                "$.tasks[0].declaredMegabytes",
            ),
            Case("body over the limit", " ".repeat(MAX_BODY_BYTES + 1), 413, ErrorCode.BODY_TOO_LARGE, "$"),
        )

    private fun runTest(block: suspend () -> Unit) = local.runTest { block() }

    private fun error(text: String) = WireJson.decodeFromString(ErrorBody.serializer(), text)

    /** Asserts that the entry started nothing so far and still works: the next job completes. */
    private suspend fun assertNothingStartedAndNextJobCompletes() {
        assertEquals(0, agent.frames.sumOf { it.dispatches.size })
        val answer = WireJson.decodeFromString(Answer.serializer(), http.post("http://$address$JOBS_PATH") { setBody(job()) }.bodyAsText())
        assertEquals(AnswerOutcome.COMPLETE, answer.outcome)
    }

    @Nested
    inner class `An invalid body` {
        @Test
        fun `is refused with a 4xx status and the paths of its violations, and nothing runs`() =
            runTest {
                for (case in cases) {
                    val response = http.post("http://$address${case.to}") { setBody(case.body) }
                    val text = response.bodyAsText()
                    assertEquals(case.status, response.status.value, "${case.name}: $text")
                    assertEquals(case.code, error(text).code, case.name)
                    assertEquals(case.paths.toSet(), error(text).violations.map { it.path }.toSet(), "${case.name}: $text")
                }
                assertNothingStartedAndNextJobCompletes()
            }

        @Test
        fun `gets every violation reported with its path`() =
            runTest {
                val body = """{"submission":"x","service":"desk","tasks":[{"id":""}],"deadlineMillis":0}"""
                val error = error(http.post("http://$address$JOBS_PATH") { setBody(body) }.bodyAsText())
                assertEquals(
                    setOf("$.submission", "$.tasks[0].id", "$.tasks[0]", "$.deadlineMillis"),
                    error.violations.map { it.path }.toSet(),
                )
            }

        @Test
        fun `is refused if it has no Content-Length and exceeds the limit`() =
            runTest {
                val oversizedContent =
                    object : OutgoingContent.WriteChannelContent() {
                        override suspend fun writeTo(channel: ByteWriteChannel) =
                            repeat(MAX_BODY_BYTES / 1_000 + 1) { channel.writeFully(ByteArray(1_000) { ' '.code.toByte() }) }
                    }
                val response = http.post("http://$address$JOBS_PATH") { setBody(oversizedContent) }
                assertEquals(413 to ErrorCode.BODY_TOO_LARGE, response.status.value to error(response.bodyAsText()).code)
                assertNothingStartedAndNextJobCompletes()
            }
    }

    @Nested
    inner class `An incomplete or malformed HTTP request` {
        private fun send(
            text: String,
            read: Boolean = false,
        ) = Socket(address.host, address.port).use {
            it.soTimeout = 10_000
            it.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
            if (read) it.getInputStream().readBytes().toString(Charsets.UTF_8) else ""
        }

        private fun post(
            length: Int,
            body: String,
        ) = "POST $JOBS_PATH HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: $length\r\n\r\n$body"

        @Test
        fun `runs nothing if the connection closes within the body`() =
            runTest {
                val body = job()
                repeat(20) { send(post(body.length, body.dropLast(1 + it))) }
                assertNothingStartedAndNextJobCompletes()
            }

        @Test
        fun `is refused if its body is not UTF-8`() =
            runTest {
                val text = send(post(2, "\u00ff\u00fe"), read = true)
                assertTrue(text.startsWith("HTTP/1.1 400 ") && "invalid_body" in text, text)
                assertNothingStartedAndNextJobCompletes()
            }

        @Test
        fun `is refused if it is not HTTP`() =
            runTest {
                val text = send("\u0001\u0002\u0003 nonsense\r\n\r\n", read = true)
                assertTrue(text.startsWith("HTTP/1.") && " 400 " in text.lines().first(), text)
                assertNothingStartedAndNextJobCompletes()
            }
    }
}
