package io.bluebellramp.bench

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** JSON of the reports. */
internal val ReportJson =
    Json {
        prettyPrint = true
        encodeDefaults = true
    }

/** Something that was done to the system during a run. */
@Serializable
internal data class Mark(
    val second: Int,
    val text: String,
)

/** How many submissions ended with [reason]. */
@Serializable
internal data class OutcomeCount(
    val reason: String,
    val submissions: Int,
)

/** What was done in one second of a run. Tasks and their run time count when their job is answered. */
@Serializable
internal data class SecondOfWork(
    val second: Int,
    val tasks: Int,
    val workSeconds: Double,
    val starts: Int,
)

/** How a counter of a process grew during a run. */
@Serializable
internal data class CounterGrowth(
    val process: String,
    val counter: String,
    val growth: Double,
    val perTask: Double,
)

/** The figures of a load run. */
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
    /** Answers that were not the whole answer to their own submission. */
    val wrong: Int,
    val firstWrong: String?,
    /** Time from the intended arrival to the answer of complete jobs (ms). */
    val responseMillis: Percentiles,
    /** Response over the ideal response of complete jobs. */
    val slowdown: Percentiles,
    /** Time from the intended arrival to the answer of complete requests (ms). */
    val requestMillis: Percentiles,
    /** Run time of the tasks of complete jobs (s). */
    val workSeconds: Double,
    val series: List<SecondOfWork>,
    val marks: List<Mark>,
    val counters: List<CounterGrowth>,
    /** What the starts files tell, or null if none was given. */
    val starts: StartsReport? = null,
    /** Work done while zones left and returned, or null if no zone was given. */
    val zoneWork: ZoneWorkReport? = null,
) {
    /** The report in a few lines. */
    fun wording(): String =
        listOfNotNull(
            "load $load on $slots slots for $seconds s, seed $seed: $jobs jobs, $tasks tasks, $requests requests",
            "jobs: ${jobOutcomes.wording()}; requests: ${requestOutcomes.wording()}; wrong answers: $wrong${firstWrong?.let {
                " ($it)"
            } ?: ""}",
            "response (ms): ${responseMillis.wording()}",
            "slowdown against the ideal: ${slowdown.wording()}",
            "requests (ms): ${requestMillis.wording()}",
            "work done: %.1f s of run time, %.1f slots busy on the mean".format(workSeconds, workSeconds / seconds),
            starts?.wording(),
            zoneWork?.wording(),
        ).joinToString("\n")

    private fun List<OutcomeCount>.wording() = joinToString { "${it.submissions} ${it.reason}" }.ifEmpty { "none" }
}
