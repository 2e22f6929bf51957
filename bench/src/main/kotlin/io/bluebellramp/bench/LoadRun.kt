package io.bluebellramp.bench

import io.bluebellramp.core.Clock
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.RequestSubmission
import io.bluebellramp.messages.TaskSpecification
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * One run of an open-loop load test.
 *
 * Each submission is sent at its intended time, whether or not earlier ones were answered. Response times are measured from the
 * intended time, so the delay of a stalled system is not hidden (coordinated omission).
 */
internal class LoadRun(
    private val settings: LoadSettings,
    private val clock: Clock,
) : AutoCloseable {
    private val client = EntryClient(settings.entries)
    private val jobs = Workload(settings.workload).jobs()
    private val openSubmissions = ConcurrentHashMap.newKeySet<SubmissionId>()
    private val recorder = LoadRecorder(settings, jobs)
    private val random = Random(settings.workload.seed)
    private var startedAt = Duration.ZERO

    /** Runs the load and returns its report once every submission is answered. */
    suspend fun run(): LoadReport {
        val before = scrapeMetrics()
        val wallStart = clock.wall()
        startedAt = clock.monotonic() + WARM_UP_TIME
        coroutineScope {
            val watch = launch { client.pollReadiness() }
            sendSubmissions()
            watch.cancel()
        }
        return recorder.report(startedAt = wallStart.plusMillis(WARM_UP_TIME.inWholeMilliseconds), before = before, after = scrapeMetrics())
    }

    override fun close() = client.close()

    private suspend fun sendSubmissions() =
        coroutineScope {
            launch { sendJobs() }
            launch { sendRequests() }
            settings.cancels.at.forEach { at -> launch { sendCancelWave(at) } }
        }

    private fun now(): Duration = clock.monotonic() - startedAt

    private suspend fun waitUntil(at: Duration) = delay(at - now())

    private suspend fun sendJobs() =
        coroutineScope {
            for (plan in jobs) {
                waitUntil(plan.arrivesAt)
                launch { sendJob(plan) }
            }
        }

    private suspend fun sendJob(plan: JobPlan) {
        val job = submission(plan)
        openSubmissions += job.submission
        val result = withResubmits { client.submit(job) }
        openSubmissions -= job.submission
        recorder.recordJob(plan, job, result, now())
    }

    private suspend fun withResubmits(call: suspend () -> CallResult): CallResult {
        var result = call()
        repeat(settings.resubmits) {
            if (result !is CallResult.NoAnswer) return result
            delay(RESUBMIT_DELAY)
            result = call()
        }
        return result
    }

    private fun submission(plan: JobPlan) =
        JobSubmission(
            submission = SubmissionId.create(clock.wall()),
            service = settings.service,
            team = settings.team,
            tasks =
                plan.tasks.mapIndexed { task, runTime ->
                    val id = "${plan.index}-$task"
                    TaskSpecification(id = id, payload = payload(runTime, id))
                },
            deadlineMillis = settings.deadline?.inWholeMilliseconds,
        )

    private fun payload(
        runTime: Duration,
        text: String,
    ) = "sleep:${runTime.inWholeMilliseconds};echo:$text"

    private suspend fun sendRequests() =
        coroutineScope {
            if (settings.requests.perSecond <= 0.0) return@coroutineScope
            var at = nextInterarrivalTime()
            var index = 0
            while (at < settings.workload.length) {
                waitUntil(at)
                sendRequest(index++, at)
                at += nextInterarrivalTime()
            }
        }

    private fun CoroutineScope.sendRequest(
        index: Int,
        at: Duration,
    ) = launch {
        val request =
            RequestSubmission(
                submission = SubmissionId.create(clock.wall()),
                service = settings.service,
                team = settings.team,
                payload = payload(settings.requests.runTime, "r$index"),
                deadlineMillis = settings.deadline?.inWholeMilliseconds,
                idempotent = settings.requests.idempotent,
            )
        val result = withResubmits { client.submit(request) }
        recorder.recordRequest(request, result, at, now())
    }

    private fun nextInterarrivalTime(): Duration = (-ln(1.0 - random.nextDouble()) / settings.requests.perSecond).seconds

    private suspend fun sendCancelWave(at: Duration) =
        coroutineScope {
            waitUntil(at)
            val chosen = openSubmissions.toList()
            chosen.take((chosen.size * settings.cancels.share).toInt()).forEach { launch { client.cancel(it) } }
        }

    private suspend fun scrapeMetrics() =
        Scrape(
            pages = settings.scrapes.mapNotNull { url -> client.metrics(url)?.let { url to MetricsPage(it) } }.toMap(),
            processorSeconds = ProcessCpuTimes().seconds(settings.pids),
        )

    private companion object {
        /** Time between the first readiness check and the first arrival. */
        val WARM_UP_TIME = 200.milliseconds
        val RESUBMIT_DELAY = 300.milliseconds
    }
}
