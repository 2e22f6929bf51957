package io.bluebellramp.jobs

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Share of recent tasks at one target that failed or stood still. It fades, so that the target is tried again. */
internal class FailingShare {
    private var share = 0.0
    private var notedAt = Duration.ZERO

    fun value(now: Duration): Double = share * 0.5.pow((now - notedAt) / HALF_LIFE)

    fun note(
        now: Duration,
        failed: Boolean,
    ) {
        val faded = value(now)
        share = faded + ((if (failed) 1.0 else 0.0) - faded) * SHARE
        notedAt = now
    }

    fun reset() {
        share = 0.0
    }

    private companion object {
        /** Weight of one task: three failures in a row show a target that fails most. */
        const val SHARE = 0.3
        val HALF_LIFE = 2.seconds
    }
}
