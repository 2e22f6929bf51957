package io.bluebellramp.jobs

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Run time over estimate of recent tasks at one target. */
internal class Slowness {
    var value = 1.0
        private set

    fun note(
        ran: Duration,
        estimate: Duration,
    ) {
        if (estimate < SHORTEST) return
        value += ((ran / estimate).coerceIn(LEAST, MOST) - value) * SHARE
    }

    fun reset() {
        value = 1.0
    }

    private companion object {
        /** Weight of one task: estimates are off by half, so one says little. */
        const val SHARE = 0.05
        const val LEAST = 0.2
        const val MOST = 10.0
        val SHORTEST = 10.milliseconds
    }
}
