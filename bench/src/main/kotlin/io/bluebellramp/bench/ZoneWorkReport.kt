package io.bluebellramp.bench

import kotlinx.serialization.Serializable

/** Work in the zones in service during an interval of a run: run time done and run time that the slots allow. */
@Serializable
internal data class WorkSlice(
    val fromMillis: Double,
    val toMillis: Double,
    val slots: Int,
    val doneSeconds: Double,
    val allowedSeconds: Double,
) {
    /** Work done divided by the work that the slots allow. */
    val share: Double get() = if (allowedSeconds > 0.0) doneSeconds / allowedSeconds else 1.0
}

/**
 * Timing after a zone was taken out of service (ms). Times of changes are relative to the start of the run, others to the change.
 *
 * @property lastStartMillis last start in the zone after the change, or null if there was none
 * @property firstStartMillis first start in the zone after its return
 * @property fullWorkMillis first time after its return at which 95% of the slots of the zone were busy
 */
@Serializable
internal data class ZoneOutageTiming(
    val zone: String,
    val outMillis: Double,
    val lastStartMillis: Double?,
    val inMillis: Double?,
    val firstStartMillis: Double?,
    val fullWorkMillis: Double?,
)

/** Work done while zones went out of and back into service. */
@Serializable
internal data class ZoneWorkReport(
    val changes: List<ZoneOutageTiming>,
    val slices: List<WorkSlice>,
) {
    /** Returns the report as a few lines of text. */
    fun summary(): String = (changes.map { it.summary() } + spanSummaries()).joinToString("\n")

    private fun spanSummaries(): List<String> {
        val first = changes.minOfOrNull { it.outMillis } ?: return listOf(spanSummary("in all", 0.0, Double.MAX_VALUE))
        val last = changes.mapNotNull { it.inMillis }.maxOrNull() ?: return emptyList()
        return listOf(
            spanSummary("before", 0.0, first),
            spanSummary("from out to in", first, last),
            spanSummary("5 s after in", last, last + AFTER_RETURN_MILLIS),
            spanSummary("out to 5 s after in", first, last + AFTER_RETURN_MILLIS),
        )
    }

    private fun spanSummary(
        name: String,
        from: Double,
        to: Double,
    ): String {
        val inside = slices.filter { it.fromMillis >= from && it.fromMillis < to && it.allowedSeconds > 0.0 }
        val least = inside.filter { it.toMillis - it.fromMillis >= MIN_SLICE_MILLIS }.minByOrNull { it.share }
        val done = inside.sumOf { it.doneSeconds }
        val allowed = inside.sumOf { it.allowedSeconds }
        if (inside.isEmpty()) return "work $name: not in the run"
        return "work %s: %.1f of %.1f s, %.2f%%, least second %.2f%% at %.1f s".format(
            name,
            done,
            allowed,
            PERCENT * done / allowed,
            PERCENT * (least?.share ?: 1.0),
            (least?.fromMillis ?: 0.0) / MILLIS_PER_SECOND,
        )
    }

    private fun ZoneOutageTiming.summary() =
        "zone $zone: out at ${formatMillis(
            outMillis,
        )}, last start after ${formatMillis(lastStartMillis)}, in at ${formatMillis(inMillis)}, " +
            "first start after ${formatMillis(firstStartMillis)}, full work after ${formatMillis(fullWorkMillis)} (ms)"

    private fun formatMillis(millis: Double?) = millis?.let { "%.0f".format(it) } ?: "none"

    private companion object {
        const val AFTER_RETURN_MILLIS = 5000.0

        /** Shorter slices are ignored in the search for the slice with the least work. */
        const val MIN_SLICE_MILLIS = 200.0
        const val PERCENT = 100.0
        const val MILLIS_PER_SECOND = 1000.0
    }
}

/**
 * Counts from the starts files of the targets for the jobs of a run.
 *
 * @property twice tasks that started more than once
 * @property extra starts beyond the first of each task
 * @property afterNotRun starts of jobs that were answered `not_run`
 * @property byTarget starts at each target, by the name of its starts file
 */
@Serializable
internal data class StartsReport(
    val starts: Int,
    val twice: Int,
    val extra: Int,
    val afterNotRun: Int,
    val byTarget: Map<String, Int>,
) {
    /** Returns the counts as one line of text. */
    fun summary(): String =
        "starts: $starts, tasks started twice $twice, extra starts $extra, starts of jobs answered not_run $afterNotRun; " +
            "by target ${byTarget.values.joinToString(" ")}"
}
