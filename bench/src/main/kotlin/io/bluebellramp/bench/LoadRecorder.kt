package io.bluebellramp.bench

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.RequestSubmission
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.nio.file.Files
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** One submission of a run, written as a line of the history file. Times are in milliseconds since the start of the run. */
@Serializable
internal data class SubmissionRecord(
    val submission: SubmissionId,
    val kind: String,
    val tasks: Int,
    val intendedMillis: Double,
    val answeredMillis: Double,
    val idealMillis: Double,
    val workMillis: Double,
    val outcome: String,
    val fault: String?,
)

/** Records the result of each submission. Recording is thread-safe. */
internal class LoadRecorder(
    private val settings: LoadSettings,
    private val plans: List<JobPlan>,
) {
    private val ideal = IdealSchedule.responses(plans, settings.workload.slots)
    private val records = ArrayList<SubmissionRecord>()
    private val plansBySubmission = HashMap<SubmissionId, JobPlan>()

    fun recordJob(
        plan: JobPlan,
        job: JobSubmission,
        result: CallResult,
        now: Duration,
    ) = add(
        plan,
        SubmissionRecord(
            submission = job.submission,
            kind = JOB,
            tasks = plan.tasks.size,
            intendedMillis = plan.arrivesAt.millis(),
            answeredMillis = now.millis(),
            idealMillis = ideal[plan.index].millis(),
            workMillis = plan.work.millis(),
            outcome = outcome(result),
            fault = fault(result) { AnswerCheck.fault(job, it) },
        ),
    )

    fun recordRequest(
        request: RequestSubmission,
        result: CallResult,
        at: Duration,
        now: Duration,
    ) = add(
        null,
        SubmissionRecord(
            submission = request.submission,
            kind = REQUEST,
            tasks = 1,
            intendedMillis = at.millis(),
            answeredMillis = now.millis(),
            idealMillis = settings.requests.runTime.millis(),
            workMillis = settings.requests.runTime.millis(),
            outcome = outcome(result),
            fault = fault(result) { AnswerCheck.fault(request, it) },
        ),
    )

    /** Returns the report of the run and writes the history file if one is configured. */
    fun report(
        startedAt: Instant,
        before: Scrape,
        after: Scrape,
    ): LoadReport {
        settings.historyFile?.let { file -> Files.write(file, records.map { Json.encodeToString(SubmissionRecord.serializer(), it) }) }
        val jobs = records.filter { it.kind == JOB }
        val requests = records.filter { it.kind == REQUEST }
        val complete = jobs.filter { it.outcome == COMPLETE }
        val tasks = plans.sumOf { it.tasks.size }
        val startsFiles = (settings.startsFiles + settings.zones.flatMap { it.startsFiles }).distinct()
        val starts = if (startsFiles.isEmpty()) null else RecordedStarts(results(jobs), startsFiles, startedAt)
        return LoadReport(
            load = settings.workload.load,
            slots = settings.workload.slots,
            seconds =
                settings.workload.length.inWholeSeconds
                    .toInt(),
            seed = settings.workload.seed,
            jobs = jobs.size,
            tasks = tasks,
            requests = requests.size,
            jobOutcomes = outcomes(jobs),
            requestOutcomes = outcomes(requests),
            wrong = records.count { it.fault != null },
            firstWrong = records.firstNotNullOfOrNull { it.fault },
            responseMillis = Percentiles.of(complete.map { it.responseMillis() }),
            slowdown = Percentiles.of(complete.map { it.responseMillis() / it.idealMillis }),
            requestMillis = Percentiles.of(requests.filter { it.outcome == COMPLETE }.map { it.responseMillis() }),
            workSeconds = complete.sumOf { it.workMillis } / MILLIS_PER_SECOND,
            series = WorkSeries.of(complete, startedAt, startsFiles),
            marks = settings.marks,
            counters = after.growthSince(before, tasks),
            starts = starts?.report(),
            zoneWork = starts?.let { zoneWork(it, startedAt) },
        )
    }

    private fun results(jobs: List<SubmissionRecord>): Map<String, JobResult> =
        jobs.associate { job ->
            val isNotRun = job.outcome.startsWith(AnswerOutcome.NOT_RUN.wireName())
            job.submission.value to JobResult(plansBySubmission.getValue(job.submission), job.answeredMillis.milliseconds, isNotRun)
        }

    private fun zoneWork(
        starts: RecordedStarts,
        startedAt: Instant,
    ): ZoneWorkReport? {
        if (settings.zones.isEmpty()) return null
        val lines = settings.changesFile?.let { Files.readAllLines(it) }.orEmpty()
        val changes = lines.mapNotNull { parseZoneChange(it, startedAt.toEpochMilli()) }
        val work = ZoneWork(settings.zones.associate { it.zone to it.slots }, starts.taskExecutions(settings.zones), changes)
        return ZoneWorkReport(changes = work.changes(), slices = work.slices(settings.workload.length))
    }

    private fun add(
        plan: JobPlan?,
        record: SubmissionRecord,
    ) = synchronized(records) {
        records += record
        if (plan != null) plansBySubmission[record.submission] = plan
    }

    private fun SubmissionRecord.responseMillis() = answeredMillis - intendedMillis

    private fun outcomes(of: List<SubmissionRecord>): List<OutcomeCount> =
        of.groupingBy { it.outcome }.eachCount().map { (reason, count) -> OutcomeCount(reason = reason, submissions = count) }

    private fun outcome(result: CallResult): String =
        when (result) {
            is CallResult.Answered -> {
                listOfNotNull(
                    result.answer.outcome.wireName(),
                    result.answer.error
                        ?.code
                        ?.name
                        ?.lowercase(),
                ).joinToString(" ")
            }

            is CallResult.Refused -> {
                "refused ${result.error.code.name.lowercase()}"
            }

            is CallResult.NoAnswer -> {
                "broken ${result.reason}"
            }
        }

    private fun AnswerOutcome.wireName() = name.lowercase()

    private fun fault(
        result: CallResult,
        check: (Answer) -> String?,
    ): String? = if (result is CallResult.Answered) check(result.answer) else null

    private fun Duration.millis() = toDouble(DurationUnit.MILLISECONDS)

    private companion object {
        const val JOB = "job"
        const val REQUEST = "request"
        const val COMPLETE = "complete"
        const val MILLIS_PER_SECOND = 1000.0
    }
}
