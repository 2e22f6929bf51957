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
import io.bluebellramp.runtime.createHttpClient
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

private const val PAYLOAD_LENGTH = 20_000
private const val CALL_COUNT = 200

/** The behaviour of an entry whose [MemoryBudget] is used up. */
class OverloadTest {
    private val budget = MemoryBudget(maxBytes = 500_000)
    private val local = LocalEntry(budget = budget)
    private val http = local.http
    private val address = local.address
    private val mayFinish = CompletableDeferred<Unit>()
    private val agent =
        FakeAgent(address, "a1") {
            mayFinish.await()
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
            tasks = listOf(TaskSpecification(id = "t", payload = "p".repeat(PAYLOAD_LENGTH))),
        )

    private suspend fun post(
        job: JobSubmission,
        query: String = "",
    ): HttpResponse = http.post("http://$address/v1/jobs$query") { setBody(WireJson.encodeToString(JobSubmission.serializer(), job)) }

    @Nested
    inner class `An entry without memory for more calls` {
        @Test
        fun `refuses them without starting or claiming anything, and answers the accepted ones`() =
            local.runTest {
                val calls = List(CALL_COUNT) { job() }.map { job -> async { job to post(job) } }
                while (calls.count { it.isCompleted } == 0) delay(5)
                val halfAnswered = launch { while (calls.count { it.isActive } > CALL_COUNT / 2) delay(5) }
                halfAnswered.join()
                mayFinish.complete(Unit)
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
                while (budget.usedBytes > 0) delay(5)
            }

        @Test
        fun `refuses calls while submissions use the memory, even if no caller waits for them`() =
            local.runTest {
                val statuses = List(40) { post(job(), "?wait=0").status.value }
                assertEquals(setOf(202, 503), statuses.toSet())
                mayFinish.complete(Unit)
                while (post(job()).status.value != 200) delay(5)
            }
    }
}
