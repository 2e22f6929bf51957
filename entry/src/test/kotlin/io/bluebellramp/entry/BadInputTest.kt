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
import io.bluebellramp.runtime.httpLink
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

private const val DEPTH = 30_000
private const val JOBS = "/v1/jobs"
private const val REQUESTS = "/v1/requests"

class BadInputTest {
    private val local = LocalEntry()
    private val http = local.http
    private val address = local.address
    private val agent = FakeAgent(address, "a1") { it.done() }.start()

    @AfterEach
    fun stop() {
        agent.stop()
        local.stop()
    }

    /** A body that is refused, with its status, its code and the places that are named. */
    private class Case(
        val name: String,
        val body: String,
        val status: Int,
        val code: ErrorCode,
        vararg val paths: String,
        val to: String = JOBS,
    )

    private fun case(
        name: String,
        body: String,
        vararg paths: String,
        to: String = JOBS,
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
            case("cut JSON", job().dropLast(3), "$"),
            case("text after the JSON", job() + "}", "$"),
            case("another kind of JSON", "[]", "$"),
            case("JSON that is nested deeply", job(tasks = "[".repeat(DEPTH) + "]".repeat(DEPTH)), "$"),
            case("unknown field", job(more = ""","urgent":true"""), "$"),
            case("unknown field of a task", job(tasks = """[{"id":"a","payload":"p","size":1}]"""), "$.tasks[0]"),
            case("missing service", """{"submission":"${id()}","tasks":${tasks(1)}}""", "$"),
            case("missing payload", job(tasks = """[{"id":"a"}]"""), "$.tasks[0]"),
            case("wrong type of the tasks", job(tasks = """"many""""), "$.tasks"),
            case("wrong type of a payload", job(tasks = """[{"id":"a","payload":{}}]"""), "$.tasks[0].payload"),
            case("number in place of text", job(tasks = """[{"id":"a","payload":7}]"""), "$.tasks[0].payload"),
            case("text in place of a number", job(more = ""","deadlineMillis":"1000""""), "$.deadlineMillis"),
            case(
                "number in quotes in a task",
                job(tasks = """[{"id":"a","payload":"p","declaredMillis":"5"}]"""),
                "$.tasks[0].declaredMillis",
            ),
            case("truth value in quotes", job(more = ""","idempotent":"true""""), "$.idempotent"),
            case("number that is too large", job(more = ""","deadlineMillis":99999999999999999999"""), "$.deadlineMillis"),
            case("deadline of 0", job(more = ""","deadlineMillis":0"""), "$.deadlineMillis"),
            case("null in place of the service", """{"submission":"${id()}","service":null,"tasks":${tasks(1)}}""", "$.service"),
            case("empty job", job(tasks = "[]"), "$.tasks"),
            case("1,801 tasks", job(tasks = tasks(1_801)), "$.tasks"),
            case("equal task ids", job(tasks = """[{"id":"a","payload":""},{"id":"a","payload":""}]"""), "$.tasks[1].id"),
            case("payload that is too long", job(tasks = """[{"id":"a","payload":"${"x".repeat(65_537)}"}]"""), "$.tasks[0].payload"),
            case("service of a wrong form", job(service = "De sk"), "$.service"),
            case("request without a payload", request(""), "$", to = REQUESTS),
            case("request with tasks", request(""","payload":"p","tasks":[]"""), "$", to = REQUESTS),
            Case("id of a wrong form", job(id = "7"), 400, ErrorCode.INVALID_SUBMISSION, "$.submission"),
            Case(
                "id of UUID version 4",
                job(id = "0f8fad5b-d9cb-469f-a165-70867728950e"),
                400,
                ErrorCode.INVALID_SUBMISSION,
                "$.submission",
            ),
            Case("id of the future", job(id = id(ageSeconds = -70)), 400, ErrorCode.INVALID_SUBMISSION, "$.submission"),
            Case("id that is too old", job(id = id(ageSeconds = 601)), 410, ErrorCode.EXPIRED_SUBMISSION, "$.submission"),
            Case("unknown service", job(service = "nobody"), 404, ErrorCode.UNKNOWN_SERVICE, "$.service"),
            Case(
                "task that fits no executor",
                job(tasks = """[{"id":"a","payload":"p","declaredMegabytes":1001}]"""),
                422,
                ErrorCode.NEVER_RUNNABLE,
                "$.tasks[0].declaredMegabytes",
            ),
            Case("body over the limit", " ".repeat(BODY_BYTES + 1), 413, ErrorCode.BODY_TOO_LARGE, "$"),
        )

    private fun test(block: suspend () -> Unit) = local.test { block() }

    private fun error(text: String) = WireJson.decodeFromString(ErrorBody.serializer(), text)

    /** The entry started nothing so far, and it is well: the next job is complete. */
    private suspend fun assertNothingRanAndIsWell() {
        assertEquals(0, agent.frames.sumOf { it.dispatches.size })
        val answer = WireJson.decodeFromString(Answer.serializer(), http.post("http://$address$JOBS") { setBody(job()) }.bodyAsText())
        assertEquals(AnswerOutcome.COMPLETE, answer.outcome)
    }

    @Nested
    inner class `A body that can't be run` {
        @Test
        fun `is refused with a clear 4xx and the place, and nothing runs`() =
            test {
                for (case in cases) {
                    val response = http.post("http://$address${case.to}") { setBody(case.body) }
                    val text = response.bodyAsText()
                    assertEquals(case.status, response.status.value, "${case.name}: $text")
                    assertEquals(case.code, error(text).code, case.name)
                    assertEquals(case.paths.toSet(), error(text).violations.map { it.path }.toSet(), "${case.name}: $text")
                }
                assertNothingRanAndIsWell()
            }

        @Test
        fun `has every violation named with its path`() =
            test {
                val body = """{"submission":"x","service":"desk","tasks":[{"id":""}],"deadlineMillis":0}"""
                val error = error(http.post("http://$address$JOBS") { setBody(body) }.bodyAsText())
                assertEquals(
                    setOf("$.submission", "$.tasks[0].id", "$.tasks[0]", "$.deadlineMillis"),
                    error.violations.map { it.path }.toSet(),
                )
            }

        @Test
        fun `is refused when it says no length and is over the limit`() =
            test {
                val endless =
                    object : OutgoingContent.WriteChannelContent() {
                        override suspend fun writeTo(channel: ByteWriteChannel) =
                            repeat(BODY_BYTES / 1_000 + 1) { channel.writeFully(ByteArray(1_000) { ' '.code.toByte() }) }
                    }
                val response = http.post("http://$address$JOBS") { setBody(endless) }
                assertEquals(413 to ErrorCode.BODY_TOO_LARGE, response.status.value to error(response.bodyAsText()).code)
                assertNothingRanAndIsWell()
            }
    }

    @Nested
    inner class `Bytes that are no whole request` {
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
        ) = "POST $JOBS HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: $length\r\n\r\n$body"

        @Test
        fun `run nothing when the connection ends within the body`() =
            test {
                val body = job()
                repeat(20) { send(post(body.length, body.dropLast(1 + it))) }
                assertNothingRanAndIsWell()
            }

        @Test
        fun `are refused when the body is not UTF-8`() =
            test {
                val text = send(post(2, "\u00ff\u00fe"), read = true)
                assertTrue(text.startsWith("HTTP/1.1 400 ") && "invalid_body" in text, text)
                assertNothingRanAndIsWell()
            }

        @Test
        fun `are refused when they are no HTTP`() =
            test {
                val text = send("\u0001\u0002\u0003 nonsense\r\n\r\n", read = true)
                assertTrue(text.startsWith("HTTP/1.") && " 400 " in text.lines().first(), text)
                assertNothingRanAndIsWell()
            }
    }
}
