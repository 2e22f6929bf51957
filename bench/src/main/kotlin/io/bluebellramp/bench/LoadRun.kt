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
 * One run of an open-loop load.
 *
 * Each submission is sent at its intended time whatever became of the others, and its response counts from that time, so a
 * stalled system cannot hide its delay.
 */
internal class LoadRun(
    private val settings: LoadSettings,
    private val clock: Clock,
) : AutoCloseable {
    private val calls = EntryCalls(settings.entries)
    private val jobs = Workload(settings.workload).jobs()
    private val open = ConcurrentHashMap.newKeySet<SubmissionId>()
    private val records = LoadRecords(settings, jobs)
    private val random = Random(settings.workload.seed)
    private var started = Duration.ZERO

    /** Runs the load and returns its report once every answer has come. */
    suspend fun run(): LoadReport {
        val before = scrape()
        val wallStart = clock.wall()
        started = clock.monotonic() + LEAD
        coroutineScope {
            val watch = launch { calls.watch() }
            sendAll()
            watch.cancel()
        }
        return records.report(startedAt = wallStart.plusMillis(LEAD.inWholeMilliseconds), before = before, after = scrape())
    }

    override fun close() = calls.close()

    private suspend fun sendAll() =
        coroutineScope {
            launch { sendJobs() }
            launch { sendRequests() }
            settings.cancels.at.forEach { at -> launch { cancelWave(at) } }
        }

    private fun now(): Duration = clock.monotonic() - started

    private suspend fun waitUntil(at: Duration) = delay(at - now())

    private suspend fun sendJobs() =
        coroutineScope {
            for (plan in jobs) {
                waitUntil(plan.at)
                launch { sendJob(plan) }
            }
        }

    private suspend fun sendJob(plan: JobPlan) {
        val job = submission(plan)
        open += job.submission
        val result = withResubmits { calls.submit(job) }
        open -= job.submission
        records.job(plan, job, result, now())
    }

    private suspend fun withResubmits(call: suspend () -> CallResult): CallResult {
        var result = call()
        repeat(settings.resubmits) {
            if (result !is CallResult.Broken) return result
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
            var at = gap()
            var index = 0
            while (at < settings.workload.length) {
                waitUntil(at)
                sendRequest(index++, at)
                at += gap()
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
        val result = withResubmits { calls.submit(request) }
        records.request(request, result, at, now())
    }

    private fun gap(): Duration = (-ln(1.0 - random.nextDouble()) / settings.requests.perSecond).seconds

    private suspend fun cancelWave(at: Duration) =
        coroutineScope {
            waitUntil(at)
            val chosen = open.toList()
            chosen.take((chosen.size * settings.cancels.share).toInt()).forEach { launch { calls.cancel(it) } }
        }

    private suspend fun scrape() =
        Scrape(
            pages = settings.scrapes.mapNotNull { url -> calls.metrics(url)?.let { url to MetricsPage(it) } }.toMap(),
            processorSeconds = ProcessTimes().seconds(settings.pids),
        )

    private companion object {
        /** Time to warm up before the first arrival. */
        val LEAD = 200.milliseconds
        val RESUBMIT_DELAY = 300.milliseconds
    }
}
