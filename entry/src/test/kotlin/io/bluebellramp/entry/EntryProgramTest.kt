package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.EntryPeer
import io.bluebellramp.messages.EntrySettings
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.PendingBody
import io.bluebellramp.messages.RequestSubmission
import io.bluebellramp.messages.TaskSpecification
import io.bluebellramp.messages.TaskStatus
import io.bluebellramp.runtime.createHttpClient
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds

class EntryProgramTest {
    private val local = LocalEntry()
    private val control = local.control
    private val http = local.http
    private val address = local.address
    private val agents = ArrayList<FakeAgent>()

    private fun agent(
        name: String,
        entry: Address = address,
        run: suspend (io.bluebellramp.messages.Dispatch) -> io.bluebellramp.messages.TaskOutcome = { it.done() },
    ) = FakeAgent(entry, name, run = run).start().also { agents += it }

    @AfterEach
    fun stop() {
        agents.forEach { it.stop() }
        local.stop()
    }

    private fun runTest(block: suspend () -> Unit) = local.runTest { block() }

    private suspend fun post(
        job: JobSubmission,
        to: Address = address,
        query: String = "",
    ) = post("/v1/jobs$query", WireJson.encodeToString(JobSubmission.serializer(), job), to)

    private suspend fun post(
        path: String,
        body: String,
        to: Address = address,
    ) = http.post("http://$to$path") { setBody(body) }

    private suspend fun HttpResponse.answer() = WireJson.decodeFromString(Answer.serializer(), bodyAsText())

    private suspend fun HttpResponse.error() = WireJson.decodeFromString(ErrorBody.serializer(), bodyAsText())

    @Nested
    inner class `A caller who submits a job` {
        @Test
        fun `gets every result in the order of the tasks`() =
            runTest {
                agent("a1")
                agent("a2")
                val response = post(job(50))
                val answer = response.answer()
                assertEquals(HttpStatusCode.OK, response.status)
                assertEquals(AnswerOutcome.COMPLETE, answer.outcome)
                assertEquals(List(50) { "t$it" to "done p$it" }, answer.results!!.map { it.id to it.result })
            }

        @Test
        fun `gets the same answer again for the same id`() =
            runTest {
                agent("a1")
                val job = job()
                val first = post(job).answer()
                assertEquals(first, post(job).answer())
                assertEquals(first, http.get("http://$address/v1/jobs/${job.submission}").answer())
            }

        @Test
        fun `gets a conflict for the same id with another body`() =
            runTest {
                agent("a1")
                val job = job()
                post(job)
                val response = post(job(4, job.submission))
                assertEquals(HttpStatusCode.Conflict to ErrorCode.SUBMISSION_CONFLICT, response.status to response.error().code)
            }

        @Test
        fun `gets the answer of the owner from another entry`() =
            runTest {
                val other = freeAddress()
                listOf("a1" to address, "a2" to other).forEach { (name, entry) ->
                    agent(name, entry) {
                        delay(100)
                        it.done()
                    }
                }
                val second = local.startAnother("e2", other)
                while (!second.isReady()) delay(5)
                val job = job()
                val answers =
                    coroutineScope { listOf(address, other, address, other).map { async { post(job, it).answer() } }.awaitAll() }
                assertEquals(1, answers.distinct().size)
                assertEquals(AnswerOutcome.COMPLETE, answers[0].outcome)
                assertEquals(3, agents.sumOf { agent -> agent.frames.sumOf { it.dispatches.size } })
            }

        @Test
        fun `gets failed with the number of started tasks if a task fails`() =
            runTest {
                agent("a1") { if (it.task == 0) it.done().copy(status = TaskStatus.ERROR, reason = "no spot") else it.done() }
                val answer = post(job(1)).answer()
                assertEquals(AnswerOutcome.FAILED, answer.outcome)
                assertEquals(1, answer.startedTasks)
                assertEquals(ErrorCode.TASK_FAILED, answer.error?.code)
            }

        @Test
        fun `can ask for the answer later`() =
            runTest {
                val mayFinish = CompletableDeferred<Unit>()
                agent("a1") {
                    mayFinish.await()
                    it.done()
                }
                val job = job()
                assertEquals(HttpStatusCode.Accepted, post(job, query = "?wait=10").status)
                assertEquals(HttpStatusCode.Accepted, http.get("http://$address/v1/jobs/${job.submission}?wait=1").status)
                mayFinish.complete(Unit)
                assertEquals(AnswerOutcome.COMPLETE, http.get("http://$address/v1/jobs/${job.submission}").answer().outcome)
                val again = http.get("http://$address/v1/jobs/${job.submission}?wait=0")
                assertEquals(HttpStatusCode.OK, again.status, "an answer that is there needs no wait")
            }

        @Test
        fun `gets the answer to a job that runs longer than the time limit for receiving a request`() =
            runTest {
                val agent =
                    agent("a1") {
                        delay(11_000)
                        it.done()
                    }
                val response = post(job(1))
                assertEquals(HttpStatusCode.OK, response.status)
                assertEquals(AnswerOutcome.COMPLETE, response.answer().outcome)
                assertEquals(1, agent.frames.count { it.hello != null }, "connections of an agent that is silent for long")
            }

        @Test
        fun `gets not run for a cancelled job if nothing started`() =
            runTest {
                val job = job()
                post(job, query = "?wait=50")
                val answer = post("/v1/jobs/${job.submission}/cancel", "").answer()
                assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.CANCELLED, answer.outcome to answer.error?.code)
            }
    }

    @Nested
    inner class `A caller who asks an entry that has not seen the submission` {
        private suspend fun startSecondEntry(): Address {
            val other = freeAddress()
            val second = local.startAnother("e2", other)
            while (!second.isReady() || control.peers.size < 2) delay(5)
            return other
        }

        private suspend fun pendingBody(
            at: Address,
            job: JobSubmission,
        ): PendingBody {
            val response = http.get("http://$at/v1/jobs/${job.submission}?wait=0")
            assertEquals(HttpStatusCode.Accepted, response.status)
            return WireJson.decodeFromString(PendingBody.serializer(), response.bodyAsText())
        }

        @Test
        fun `can cancel it there`() =
            runTest {
                val other = startSecondEntry()
                val job = job()
                post(job, query = "?wait=50")
                val answer = post("/v1/jobs/${job.submission}/cancel", "", other).answer()
                assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.CANCELLED, answer.outcome to answer.error?.code)
                assertEquals(answer, post(job).answer())
            }

        @Test
        fun `gets the number of completed tasks, and the answer once it is there`() =
            runTest {
                val mayFinish = CompletableDeferred<Unit>()
                agent("a1") {
                    if (it.task > 1) mayFinish.await()
                    it.done()
                }
                val other = startSecondEntry()
                val job = job(5)
                post(job, query = "?wait=10")
                while (pendingBody(address, job).tasksDone != 2) delay(5)
                val expected = PendingBody(submission = job.submission, tasks = 5, tasksDone = 2)
                assertEquals(listOf(expected, expected), listOf(address, other).map { pendingBody(it, job) })
                mayFinish.complete(Unit)
                assertEquals(AnswerOutcome.COMPLETE, http.get("http://$other/v1/jobs/${job.submission}").answer().outcome)
            }

        @Test
        fun `is told that no entry knows it, unless an entry does not answer`() =
            runTest {
                val other = startSecondEntry()
                val path = "/v1/jobs/${SubmissionId.create(Instant.now())}/cancel"
                assertEquals(ErrorCode.NOT_FOUND, post(path, "", other).error().code)
                val gone = EntryPeer(EntryId("e3"), IncarnationId.create(), freeAddress(), SiteId("vestland"))
                control.peers[gone.entry.value] = gone
                while (post(path, "", other).error().code != ErrorCode.OWNER_UNREACHABLE) delay(5)
            }
    }

    @Nested
    inner class `A caller who sends a request` {
        @Test
        fun `gets one result`() =
            runTest {
                agent("a1")
                val request = RequestSubmission(SubmissionId.create(Instant.now()), ServiceId("desk"), "price")
                val answer = post("/v1/requests", WireJson.encodeToString(RequestSubmission.serializer(), request)).answer()
                assertEquals(listOf("done price"), answer.results?.map { it.result })
            }
    }

    @Nested
    inner class `An agent` {
        @Test
        fun `gets a permit that lasts no longer than the lease`() =
            runTest {
                val agent = agent("a1")
                while (agent.permits.isEmpty()) delay(5)
                val permit = agent.permits.first()
                assertTrue(permit.inService && permit.validMillis in 1..2_000)
                assertEquals(4, permit.slots)
                assertEquals(listOf(address), permit.entries)
                assertNotNull(control.lastLease)
            }
    }

    @Nested
    inner class `An entry without a majority for claims` {
        @Test
        fun `refuses and starts nothing`() =
            runTest {
                agent("a1")
                control.abstains = true
                val response = post(job())
                assertEquals(HttpStatusCode.ServiceUnavailable to ErrorCode.CLAIMS_UNAVAILABLE, response.status to response.error().code)
                assertTrue(agents.all { agent -> agent.frames.all { it.dispatches.isEmpty() } })
                control.abstains = false
                assertEquals(AnswerOutcome.COMPLETE, post(job()).answer().outcome)
            }
    }

    @Nested
    inner class `An entry that shuts down` {
        @Test
        fun `answers the calls in progress`() =
            runTest {
                agent("a1") {
                    delay(300)
                    it.done()
                }
                coroutineScope {
                    val answer = async { post(job()).answer() }
                    delay(100)
                    local.stopEntry()
                    assertEquals(AnswerOutcome.COMPLETE, answer.await().outcome)
                    assertTrue(control.lastLease!!.leaving)
                }
            }
    }
}
