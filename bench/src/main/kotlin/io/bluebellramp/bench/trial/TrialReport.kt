package io.bluebellramp.bench.trial

import io.bluebellramp.bench.Percentiles
import kotlinx.serialization.Serializable

/** The figures of one policy under one load, over all seeds. */
@Serializable
internal data class TrialRow(
    val site: String,
    val scenario: String,
    val load: Double,
    val entries: Int,
    val policy: String,
    /** Response over the ideal response. */
    val slowdown: Percentiles,
    /** The same of jobs of 200 tasks or more. */
    val wideSlowdown: Percentiles,
    val responseMillis: Percentiles,
    val tasks: Int,
    /** Probes, refusals and cancels, for each task. */
    val wastedPerTask: Double,
    /** Messages that carry neither a dispatch nor an outcome, for each task. */
    val controlPerTask: Double,
    /** Messages that report demand and nothing else, for each task. */
    val demandPerTask: Double,
    /** Credits recalled and returned, as messages for each task. */
    val recallsPerTask: Double,
    /** Share of the tasks that a failing worker failed. */
    val failedShare: Double,
    /** Least work done while a zone is out or comes back, over what the slots allow. 0 without a zone change. */
    val zoneShare: Double,
) {
    /** Tells the same cell of another report. */
    fun isLike(other: TrialRow) =
        site == other.site && scenario == other.scenario && load == other.load && entries == other.entries && policy == other.policy

    companion object {
        /** Sums up the [samples] of [policy], which differ by their seed only. */
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
        ): Double = sumOf { it.tally.count(*kinds) }.toDouble() / tasks
    }
}

/** The figures of a whole trial. */
@Serializable
internal data class TrialReport(
    val seconds: Int,
    val seeds: List<Long>,
    val prefetch: Int,
    val newsMillis: Int,
    val rows: List<TrialRow>,
)
