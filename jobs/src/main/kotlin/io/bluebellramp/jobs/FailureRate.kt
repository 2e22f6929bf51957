package io.bluebellramp.jobs

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Share of recent tasks at one target that failed or stalled. It decays with time, so that the target is used again. */
internal class FailureRate {
    private var rate = 0.0
    private var updatedAt = Duration.ZERO

    fun value(now: Duration): Double = rate * 0.5.pow((now - updatedAt) / HALF_LIFE)

    fun record(
        now: Duration,
        failed: Boolean,
    ) {
        val decayed = value(now)
        rate = decayed + ((if (failed) 1.0 else 0.0) - decayed) * SAMPLE_WEIGHT
        updatedAt = now
    }

    fun reset() {
        rate = 0.0
    }

    private companion object {
        /** Weight of one task: three consecutive failures raise the rate above one half. */
        const val SAMPLE_WEIGHT = 0.3
        val HALF_LIFE = 2.seconds
    }
}
