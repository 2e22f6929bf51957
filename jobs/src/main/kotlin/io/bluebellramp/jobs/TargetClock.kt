package io.bluebellramp.jobs

import kotlin.time.Duration

/** The steady clock of a target, read at [readAt] of the own clock. It may run a little slow or fast. */
internal class TargetClock(
    private val reading: Duration,
    private val readAt: Duration,
) {
    /** Returns the earliest time that the target's clock may show at [now]. */
    fun at(now: Duration): Duration = reading + (now - readAt) / SLOWEST

    companion object {
        /** By the platform a target's clock is at most 2% slow. */
        const val SLOWEST = 1.02
    }
}
