package io.bluebellramp.entry

import io.bluebellramp.core.EntryId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.EntrySettings
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.TaskSpecification
import io.bluebellramp.runtime.httpLink
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

private const val PAYLOAD = 20_000
private const val CALLS = 200

/** An entry whose memory for calls is used up. */
class OverloadTest {
    private val budget = MemoryBudget(most = 500_000)
    private val local = LocalEntry(budget = budget)
    private val http = local.http
    private val address = local.address
    private val go = CompletableDeferred<Unit>()
    private val agent =
        FakeAgent(address, "a1") {
            go.await()
            it.done("ok")
        }.start()

    @AfterEach
    fun stop() {
        agent.stop()
        local.stop()
    }

    private fun job() =
        JobSubmission(
            submission = SubmissionId.create(Instant.now()),
            service = ServiceId("desk"),
            tasks = listOf(TaskSpecification(id = "t", payload = "p".repeat(PAYLOAD))),
        )

    private suspend fun post(
        job: JobSubmission,
        query: String = "",
    ): HttpResponse = http.post("http://$address/v1/jobs$query") { setBody(WireJson.encodeToString(JobSubmission.serializer(), job)) }

    @Nested
    inner class `An entry without memory for more calls` {
        @Test
        fun `refuses them with nothing started or claimed, and answers those that it accepted`() =
            local.test {
                val calls = List(CALLS) { job() }.map { job -> async { job to post(job) } }
                while (calls.count { it.isCompleted } == 0) delay(5)
                val opened = launch { while (calls.count { it.isActive } > CALLS / 2) delay(5) }
                opened.join()
                go.complete(Unit)
                val (answered, refused) = calls.awaitAll().partition { (_, response) -> response.status.value == 200 }
                assertTrue(answered.isNotEmpty() && refused.isNotEmpty())
                answered.forEach { (job, response) ->
                    val answer = WireJson.decodeFromString(Answer.serializer(), response.bodyAsText())
                    assertEquals(job.submission to AnswerOutcome.COMPLETE, answer.submission to answer.outcome)
                }
                refused.forEach { (job, response) ->
                    val error = WireJson.decodeFromString(ErrorBody.serializer(), response.bodyAsText())
                    assertEquals(503 to ErrorCode.NOT_READY, response.status.value to error.code)
                    assertTrue(agent.frames.none { frame -> frame.dispatches.any { it.submission == job.submission } })
                }
                assertEquals(200, post(refused.first().first).status.value, "the same id again, on a kept connection")
                while (budget.used > 0) delay(5)
            }

        @Test
        fun `refuses calls as long as submissions hold it that nobody waits for`() =
            local.test {
                val statuses = List(40) { post(job(), "?wait=0").status.value }
                assertEquals(setOf(202, 503), statuses.toSet())
                go.complete(Unit)
                while (post(job()).status.value != 200) delay(5)
            }
    }
}
