package io.bluebellramp.jobs

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The ratio of run time to estimate of the tasks at one target. A slow target gets few tasks that could show its recovery, so the recent
 * ratio decays towards the long-term ratio.
 */
internal class Slowness {
    private var longTerm = 1.0
    private var recent = 1.0
    private var updatedAt = Duration.ZERO

    fun value(now: Duration): Double = longTerm + (recent - longTerm) * 0.5.pow((now - updatedAt) / HALF_LIFE)

    /** Records that a task completed after [ran]. */
    fun taskCompleted(
        now: Duration,
        ran: Duration,
        estimate: Duration,
    ) {
        if (estimate < MIN_ESTIMATE) return
        val ratio = (ran / estimate).coerceIn(MIN_RATIO, MAX_RATIO)
        longTerm += (ratio.coerceAtMost(MAX_LONG_TERM_RATIO) - longTerm) * LONG_TERM_SAMPLE_WEIGHT
        update(now, ratio)
    }

    /** Records that a running task will take at least [ran], if that is far beyond its estimate. */
    fun taskOverdue(
        now: Duration,
        ran: Duration,
        estimate: Duration,
    ) {
        if (estimate < MIN_ESTIMATE || ran < estimate * OVERDUE_FACTOR) return
        update(now, (ran / estimate).coerceIn(MIN_RATIO, MAX_RATIO))
    }

    fun reset() {
        longTerm = 1.0
        recent = 1.0
    }

    private fun update(
        now: Duration,
        ratio: Double,
    ) {
        recent = value(now)
        recent += (ratio - recent) * RECENT_SAMPLE_WEIGHT
        updatedAt = now
    }

    private companion object {
        /** Weight of one task in the recent ratio. Estimates are off by half, so a single task is weak evidence. */
        const val RECENT_SAMPLE_WEIGHT = 0.08
        const val LONG_TERM_SAMPLE_WEIGHT = 0.01
        const val MIN_RATIO = 0.2
        const val MAX_RATIO = 10.0

        /** Types of target differ by less than this factor; a higher ratio is a temporary problem. */
        const val MAX_LONG_TERM_RATIO = 2.0

        /** A run time of this multiple of the estimate indicates a slow target rather than a wrong estimate. */
        const val OVERDUE_FACTOR = 2.5
        val MIN_ESTIMATE = 10.milliseconds
        val HALF_LIFE = 1.5.seconds
    }
}
