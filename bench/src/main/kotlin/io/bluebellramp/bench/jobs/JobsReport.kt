package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.Percentiles
import io.bluebellramp.jobs.JobAnswer
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Results of a group of jobs as seen by their callers.
 *
 * @property worth value of the answers as a share of the maximum: full if in time, reduced if late, none otherwise
 */
@Serializable
internal data class JobsRow(
    val name: String,
    val asked: Int,
    val inAim: Int,
    val late: Int,
    val refused: Int,
    val failed: Int,
    val worth: Double,
    val medianMillis: Double,
    val p99Millis: Double,
) {
    /** Returns the row as a line of the table. */
    fun summary() =
        "%-26s %6d %6d %6d %7d %6d  %.3f %8.1f %8.1f".format(name, asked, inAim, late, refused, failed, worth, medianMillis, p99Millis)

    companion object {
        const val HEADER = "group                       asked in aim   late refused failed  worth   p50 ms   p99 ms"

        /** By the rules of the users, an answer after more than this many times the objective is worth nothing. */
        private const val LATE_FACTOR = 3

        fun of(
            name: String,
            jobs: List<SimulatedJob>,
        ): JobsRow {
            val served = jobs.filter { it.answer == JobAnswer.Completed }
            val inAim = served.filter { it.responseTime <= it.objective }
            val late = served.filter { it.responseTime > it.objective && it.responseTime <= it.objective * LATE_FACTOR }
            val credit = inAim.sumOf { it.kind.worth } + late.sumOf { it.kind.lateWorth }
            val times = Percentiles.of(served.map { it.responseTime.toDouble(DurationUnit.MILLISECONDS) })
            return JobsRow(
                name = name,
                asked = jobs.size,
                inAim = inAim.size,
                late = served.size - inAim.size,
                refused = jobs.count { it.answer is JobAnswer.NotRun },
                failed = jobs.count { it.answer != JobAnswer.Completed && it.answer !is JobAnswer.NotRun },
                worth = if (jobs.isEmpty()) 1.0 else credit / jobs.sumOf { it.kind.worth },
                medianMillis = times.median,
                p99Millis = times.p99,
            )
        }

        private val SimulatedJob.responseTime: Duration get() = checkNotNull(answeredAt) - arrivedAt
    }
}

/** Rows of a trial: all jobs, each kind of request, the largest tenth of each kind, and each window of arrival time. */
internal object JobsReport {
    private val WINDOW = 2.seconds

    /** One in this many jobs of each kind is reported among its largest. */
    private const val LARGEST_JOBS_DIVISOR = 10

    fun rows(jobs: List<SimulatedJob>): List<JobsRow> {
        val kinds = jobs.groupBy { it.kind.name }
        val largestJobs = kinds.mapValues { (_, all) -> all.sortedByDescending { it.work }.take(all.size / LARGEST_JOBS_DIVISOR) }
        val windows = jobs.groupBy { ((it.arrivedAt - JobsTrial.START_UP_TIME) / WINDOW).toInt() }.toSortedMap()
        return listOf(JobsRow.of("all", jobs)) +
            kinds.map { (name, group) -> JobsRow.of(name, group) } +
            largestJobs.map { (name, group) -> JobsRow.of("$name, largest tenth", group) } +
            windows.map { (window, group) -> JobsRow.of("from ${WINDOW * window}", group) }
    }
}
