package io.bluebellramp.bench

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON format of the reports. */
internal val ReportJson =
    Json {
        prettyPrint = true
        encodeDefaults = true
    }

/** Event that the operator noted for a run, such as the stop of a process. */
@Serializable
internal data class Mark(
    val second: Int,
    val text: String,
)

/** Number of submissions that ended with [reason]. */
@Serializable
internal data class OutcomeCount(
    val reason: String,
    val submissions: Int,
)

/** Work done in one second of a run. Tasks and their run time are counted in the second in which their job is answered. */
@Serializable
internal data class SecondOfWork(
    val second: Int,
    val tasks: Int,
    val workSeconds: Double,
    val starts: Int,
)

/** Increase of a counter of a process during a run. */
@Serializable
internal data class CounterGrowth(
    val process: String,
    val counter: String,
    val growth: Double,
    val perTask: Double,
)

/** Results of a load run. */
@Serializable
internal data class LoadReport(
    val load: Double,
    val slots: Int,
    val seconds: Int,
    val seed: Long,
    val jobs: Int,
    val tasks: Int,
    val requests: Int,
    val jobOutcomes: List<OutcomeCount>,
    val requestOutcomes: List<OutcomeCount>,
    /** Number of answers that were incomplete or did not belong to their submission. */
    val wrong: Int,
    val firstWrong: String?,
    /** Time from the intended arrival to the answer of complete jobs (ms). */
    val responseMillis: Percentiles,
    /** Response time of complete jobs divided by their ideal response time, see [IdealSchedule]. */
    val slowdown: Percentiles,
    /** Time from the intended arrival to the answer of complete requests (ms). */
    val requestMillis: Percentiles,
    /** Total run time of the tasks of complete jobs (s). */
    val workSeconds: Double,
    val series: List<SecondOfWork>,
    val marks: List<Mark>,
    val counters: List<CounterGrowth>,
    /** Counts from the starts files, or null if none was given. */
    val starts: StartsReport? = null,
    /** Work done while zones went out of and back into service, or null if no zone was given. */
    val zoneWork: ZoneWorkReport? = null,
) {
    /** Returns the report as a few lines of text. */
    fun summary(): String =
        listOfNotNull(
            "load $load on $slots slots for $seconds s, seed $seed: $jobs jobs, $tasks tasks, $requests requests",
            "jobs: ${jobOutcomes.summary()}; requests: ${requestOutcomes.summary()}; wrong answers: $wrong${firstWrong?.let {
                " ($it)"
            } ?: ""}",
            "response (ms): ${responseMillis.summary()}",
            "slowdown against the ideal: ${slowdown.summary()}",
            "requests (ms): ${requestMillis.summary()}",
            "work done: %.1f s of run time, %.1f slots busy on the mean".format(workSeconds, workSeconds / seconds),
            starts?.summary(),
            zoneWork?.summary(),
        ).joinToString("\n")

    private fun List<OutcomeCount>.summary() = joinToString { "${it.submissions} ${it.reason}" }.ifEmpty { "none" }
}
