package io.bluebellramp.bench

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.StrictJson
import io.bluebellramp.core.SystemClock
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.TaskResult
import io.ktor.http.HttpStatusCode
import io.ktor.serialization.kotlinx.json.json
import io.ktor.server.application.install
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.plugins.contentnegotiation.ContentNegotiation
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadRunTest {
    /** Runs a short load against a fake entry that responds to each job with [answer]. */
    private fun loadAgainst(answer: (JobSubmission) -> Any): LoadReport =
        runBlocking {
            val server =
                embeddedServer(Netty, configure = {
                    connector {
                        host = "127.0.0.1"
                        port = 0
                    }
                }) {
                    install(ContentNegotiation) { json(StrictJson) }
                    routing {
                        post("/v1/jobs") {
                            val reply = answer(call.receive<JobSubmission>())
                            if (reply is Answer) {
                                call.respond(
                                    reply,
                                )
                            } else {
                                call.respond(HttpStatusCode.ServiceUnavailable, reply as ErrorBody)
                            }
                        }
                    }
                }.start()
            val port =
                server.engine
                    .resolvedConnectors()
                    .first()
                    .port
            LoadRun(settings("http://127.0.0.1:$port"), SystemClock).use { it.run() }.also { server.stop(0, 0) }
        }

    private fun settings(entry: String) =
        LoadSettings(
            entries = listOf(entry),
            service = ServiceId("s"),
            team = null,
            workload = WorkloadSettings(load = 0.8, slots = 88, length = 1.seconds, seed = 3),
            requests = RequestLoad(perSecond = 0.0, runTime = 1.milliseconds, idempotent = false),
            cancels = CancelWaves(at = emptyList(), share = 0.0),
            resubmits = 0,
            deadline = null,
            marks = emptyList(),
            scrapes = emptyList(),
            pids = emptyList(),
            startsFiles = emptyList(),
            zones = emptyList(),
            changesFile = null,
            historyFile = null,
        )

    private fun completeAnswer(job: JobSubmission) =
        Answer(
            submission = job.submission,
            outcome = AnswerOutcome.COMPLETE,
            results = job.tasks.map { TaskResult(it.id, it.payload.substringAfter("echo:")) },
        )

    @Nested
    inner class `the report of a load` {
        @Test
        fun `counts every job and reports no complete answer as wrong`() {
            val report = loadAgainst(::completeAnswer)
            assertTrue(report.jobs > 0)
            assertEquals(listOf(OutcomeCount("complete", report.jobs)), report.jobOutcomes)
            assertEquals(0, report.wrong)
        }

        @Test
        fun `counts each answer that lacks a result as wrong`() {
            val report = loadAgainst { job -> completeAnswer(job).let { it.copy(results = it.results.orEmpty().drop(1)) } }
            assertEquals(report.jobs, report.wrong)
        }

        @Test
        fun `counts refused jobs by error code`() {
            val report = loadAgainst { ErrorBody(ErrorCode.NOT_READY, "Not ready.") }
            assertEquals(listOf(OutcomeCount("refused not_ready", report.jobs)), report.jobOutcomes)
        }
    }
}
