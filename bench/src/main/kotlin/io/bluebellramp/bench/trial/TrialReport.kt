package io.bluebellramp.bench.trial

import io.bluebellramp.bench.Percentiles
import kotlinx.serialization.Serializable

/** Results of one policy under one load, over all seeds. */
@Serializable
internal data class TrialRow(
    val site: String,
    val scenario: String,
    val load: Double,
    val entries: Int,
    val policy: String,
    /** Response time divided by the ideal response time. */
    val slowdown: Percentiles,
    /** Slowdown of jobs with 200 tasks or more. */
    val wideSlowdown: Percentiles,
    val responseMillis: Percentiles,
    val tasks: Int,
    /** Probes, refusals and cancels per task. */
    val wastedPerTask: Double,
    /** Messages per task that carry neither a dispatch nor an outcome. */
    val controlPerTask: Double,
    /** Messages per task that only report demand. */
    val demandPerTask: Double,
    /** Messages per task that recall or return credits. */
    val recallsPerTask: Double,
    /** Share of the tasks that failed on the failing executor. */
    val failedShare: Double,
    /** Least work done while a zone is out of service or returns, divided by what the slots allow. 0 without a zone change. */
    val zoneShare: Double,
) {
    /** Returns whether [other] has the same settings and policy. */
    fun isSameCell(other: TrialRow) =
        site == other.site && scenario == other.scenario && load == other.load && entries == other.entries && policy == other.policy

    companion object {
        /** Aggregates the [samples] of [policy], which differ only in their seed. */
        fun of(
            policy: TrialPolicy,
            samples: List<TrialSample>,
        ): TrialRow {
            val settings = samples.first().settings
            val tasks = samples.sumOf { it.tally.started }
            return TrialRow(
                site = settings.site.name.lowercase(),
                scenario = settings.scenario.name.lowercase(),
                load = settings.load,
                entries = settings.entries,
                policy = policy.label,
                slowdown = Percentiles.of(samples.flatMap { it.slowdowns() }),
                wideSlowdown = Percentiles.of(samples.flatMap { it.wideSlowdowns() }),
                responseMillis = Percentiles.of(samples.flatMap { it.responses() }),
                tasks = tasks,
                wastedPerTask = samples.perTask(tasks, MessageKind.PROBE, MessageKind.REFUSAL, MessageKind.CANCEL),
                controlPerTask =
                    samples.perTask(
                        tasks,
                        MessageKind.GRANT,
                        MessageKind.DEMAND,
                        MessageKind.RECALL,
                        MessageKind.RETURN,
                        MessageKind.REPORT,
                        MessageKind.PROBE,
                        MessageKind.REFUSAL,
                        MessageKind.CANCEL,
                    ),
                demandPerTask = samples.perTask(tasks, MessageKind.DEMAND),
                recallsPerTask = samples.perTask(tasks, MessageKind.RECALL, MessageKind.RETURN),
                failedShare = samples.sumOf { it.tally.failed }.toDouble() / tasks,
                zoneShare = if (settings.scenario == TrialScenario.ZONE) samples.minOf { it.zoneShare() } else 0.0,
            )
        }

        private fun List<TrialSample>.perTask(
            tasks: Int,
            vararg kinds: MessageKind,
        ): Double = sumOf { it.tally.messageCount(*kinds) }.toDouble() / tasks
    }
}

/** Results of a whole trial. */
@Serializable
internal data class TrialReport(
    val seconds: Int,
    val seeds: List<Long>,
    val prefetch: Int,
    val newsMillis: Int,
    val rows: List<TrialRow>,
)
