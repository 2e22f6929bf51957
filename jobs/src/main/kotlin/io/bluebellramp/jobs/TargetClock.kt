package io.bluebellramp.jobs

import kotlin.time.Duration

/** Estimates the monotonic clock of a target, which showed [reading] at [readAt] of the local clock. The two clocks may drift apart. */
internal class TargetClock(
    private val reading: Duration,
    private val readAt: Duration,
) {
    /** Returns the earliest time that the clock of the target may show at [now]. */
    fun earliestAt(now: Duration): Duration = reading + (now - readAt) / MAX_DRIFT_FACTOR

    companion object {
        /** The platform guarantees that the clock of a target is at most 2% slow. */
        const val MAX_DRIFT_FACTOR = 1.02
    }
}
