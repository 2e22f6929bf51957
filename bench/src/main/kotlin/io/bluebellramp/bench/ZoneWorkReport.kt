package io.bluebellramp.bench

import kotlinx.serialization.Serializable

/** The work in the zones in service between two moments of a run (ms): run time done, and what the slots allow (s). */
@Serializable
internal data class WorkSlice(
    val fromMillis: Double,
    val toMillis: Double,
    val slots: Int,
    val doneSeconds: Double,
    val allowedSeconds: Double,
) {
    /** Work done over what the slots allow. */
    val share: Double get() = if (allowedSeconds > 0.0) doneSeconds / allowedSeconds else 1.0
}

/**
 * What followed when a zone was taken out. Times of the changes count from the start of the run, the others from the change (ms).
 *
 * @property lastStartMillis last start in the zone after the change, or null if there was none
 * @property firstStartMillis first start in the zone after its return
 * @property fullWorkMillis when 95% of the slots of the zone were busy after its return
 */
@Serializable
internal data class ZoneOutFigures(
    val zone: String,
    val outMillis: Double,
    val lastStartMillis: Double?,
    val inMillis: Double?,
    val firstStartMillis: Double?,
    val fullWorkMillis: Double?,
)

/** The work done while zones left and returned. */
@Serializable
internal data class ZoneWorkReport(
    val changes: List<ZoneOutFigures>,
    val slices: List<WorkSlice>,
) {
    /** The figures in a few lines. */
    fun wording(): String = (changes.map { it.wording() } + shares()).joinToString("\n")

    private fun shares(): List<String> {
        val first = changes.minOfOrNull { it.outMillis } ?: return listOf(span("in all", 0.0, Double.MAX_VALUE))
        val last = changes.mapNotNull { it.inMillis }.maxOrNull() ?: return emptyList()
        return listOf(
            span("before", 0.0, first),
            span("from out to in", first, last),
            span("5 s after in", last, last + AFTER_MILLIS),
            span("out to 5 s after in", first, last + AFTER_MILLIS),
        )
    }

    private fun span(
        name: String,
        from: Double,
        to: Double,
    ): String {
        val inside = slices.filter { it.fromMillis >= from && it.fromMillis < to && it.allowedSeconds > 0.0 }
        val least = inside.filter { it.toMillis - it.fromMillis >= SHORTEST_MILLIS }.minByOrNull { it.share }
        val done = inside.sumOf { it.doneSeconds }
        val allowed = inside.sumOf { it.allowedSeconds }
        if (inside.isEmpty()) return "work $name: not in the run"
        return "work %s: %.1f of %.1f s, %.2f%%, least second %.2f%% at %.1f s".format(
            name,
            done,
            allowed,
            PERCENT * done / allowed,
            PERCENT * (least?.share ?: 1.0),
            (least?.fromMillis ?: 0.0) / MILLIS,
        )
    }

    private fun ZoneOutFigures.wording() =
        "zone $zone: out at ${text(outMillis)}, last start after ${text(lastStartMillis)}, in at ${text(inMillis)}, " +
            "first start after ${text(firstStartMillis)}, full work after ${text(fullWorkMillis)} (ms)"

    private fun text(millis: Double?) = millis?.let { "%.0f".format(it) } ?: "none"

    private companion object {
        const val AFTER_MILLIS = 5000.0

        /** Parts of a second that are shorter are not judged alone (ms). */
        const val SHORTEST_MILLIS = 200.0
        const val PERCENT = 100.0
        const val MILLIS = 1000.0
    }
}

/**
 * What the starts files of the targets tell of the jobs of a run.
 *
 * @property twice tasks that started more than once
 * @property extra starts beyond the first of each task
 * @property afterNotRun starts of jobs that were answered `not_run`
 * @property byTarget starts at each target, by its file
 */
@Serializable
internal data class StartsReport(
    val starts: Int,
    val twice: Int,
    val extra: Int,
    val afterNotRun: Int,
    val byTarget: Map<String, Int>,
) {
    /** The figures in one line. */
    fun wording(): String =
        "starts: $starts, tasks started twice $twice, extra starts $extra, starts of jobs answered not_run $afterNotRun; " +
            "by target ${byTarget.values.joinToString(" ")}"
}
