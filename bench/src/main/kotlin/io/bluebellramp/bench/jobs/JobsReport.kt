package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.Percentiles
import io.bluebellramp.jobs.JobAnswer
import kotlinx.serialization.Serializable
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * What callers got of a group of jobs.
 *
 * @property worth share of the credit: all in time, some late, none else
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
    /** The row as a line of a table. */
    fun wording() =
        "%-26s %6d %6d %6d %7d %6d  %.3f %8.1f %8.1f".format(name, asked, inAim, late, refused, failed, worth, medianMillis, p99Millis)

    companion object {
        const val HEADER = "group                       asked in aim   late refused failed  worth   p50 ms   p99 ms"

        /** An answer later than this many times the objective is worth nothing, by the users' rules. */
        private const val LATE_FACTOR = 3

        fun of(
            name: String,
            jobs: List<TrialJob>,
        ): JobsRow {
            val served = jobs.filter { it.answer == JobAnswer.Completed }
            val inAim = served.filter { it.took <= it.objective }
            val late = served.filter { it.took > it.objective && it.took <= it.objective * LATE_FACTOR }
            val credit = inAim.sumOf { it.kind.worth } + late.sumOf { it.kind.lateWorth }
            val times = Percentiles.of(served.map { it.took.toDouble(DurationUnit.MILLISECONDS) })
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

        private val TrialJob.took: Duration get() = checkNotNull(answeredAt) - arrivedAt
    }
}

/** The rows of one trial: all, by kind of request, the widest tenth of each kind, and by window of the time of arrival. */
internal object JobsReport {
    private val WINDOW = 2.seconds

    /** Share of the jobs of a kind that counts as its widest. */
    private const val WIDEST = 10

    fun rows(jobs: List<TrialJob>): List<JobsRow> {
        val kinds = jobs.groupBy { it.kind.name }
        val widest = kinds.mapValues { (_, all) -> all.sortedByDescending { it.work }.take(all.size / WIDEST) }
        val windows = jobs.groupBy { ((it.arrivedAt - JobsTrial.START_UP) / WINDOW).toInt() }.toSortedMap()
        return listOf(JobsRow.of("all", jobs)) +
            kinds.map { (name, group) -> JobsRow.of(name, group) } +
            widest.map { (name, group) -> JobsRow.of("$name, largest tenth", group) } +
            windows.map { (window, group) -> JobsRow.of("from ${WINDOW * window}", group) }
    }
}
