package io.bluebellramp.jobs

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Run time over estimate of tasks at one target. A target that is slow for a while gets few tasks to show that it has recovered, so what
 * recent tasks say fades to what all tasks said.
 */
internal class Slowness {
    private var usual = 1.0
    private var recent = 1.0
    private var notedAt = Duration.ZERO

    fun value(now: Duration): Double = usual + (recent - usual) * 0.5.pow((now - notedAt) / HALF_LIFE)

    /** A task ended well after [ran]. */
    fun ended(
        now: Duration,
        ran: Duration,
        estimate: Duration,
    ) {
        if (estimate < SHORTEST) return
        val ratio = (ran / estimate).coerceIn(LEAST, MOST)
        usual += (ratio.coerceAtMost(MOST_USUAL) - usual) * USUAL_SHARE
        note(now, ratio)
    }

    /** A task still runs after so long that it will take [ran] at least. */
    fun drags(
        now: Duration,
        ran: Duration,
        estimate: Duration,
    ) {
        if (estimate < SHORTEST || ran < estimate * DRAGS) return
        note(now, (ran / estimate).coerceIn(LEAST, MOST))
    }

    fun reset() {
        usual = 1.0
        recent = 1.0
    }

    private fun note(
        now: Duration,
        ratio: Double,
    ) {
        recent = value(now)
        recent += (ratio - recent) * SHARE
        notedAt = now
    }

    private companion object {
        /** Weights of one task: estimates are off by half, so one says little. */
        const val SHARE = 0.08
        const val USUAL_SHARE = 0.01
        const val LEAST = 0.2
        const val MOST = 10.0

        /** Kinds of target differ by less than this factor; more is trouble that passes. */
        const val MOST_USUAL = 2.0

        /** A task that takes this many times its estimate shows a slow target, not a bad estimate. */
        const val DRAGS = 2.5
        val SHORTEST = 10.milliseconds
        val HALF_LIFE = 1.5.seconds
    }
}
