package io.bluebellramp.placement

import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * A histogram of run times with buckets that grow by a constant ratio. Old samples fade, so that it follows a change.
 *
 * A quantile is off by at most the ratio of the buckets.
 */
internal class RunTimeSketch {
    private val counts = DoubleArray(BUCKETS)
    private var total = 0.0

    fun add(ran: Duration) {
        counts[bucket(ran)] += 1.0
        total += 1.0
        if (total >= FADE_AT) fade()
    }

    /** The run time that a [share] of the samples does not exceed, or null if there is no sample. */
    fun quantile(share: Double): Duration? {
        if (total == 0.0) return null
        var rest = share.coerceIn(0.0, 1.0) * total
        val index = counts.indexOfFirst { count -> (rest - count).also { rest = it } <= 0.0 }
        return RATIO.pow(if (index < 0) BUCKETS - 1 else index).milliseconds
    }

    private fun bucket(ran: Duration): Int {
        val millis = maxOf(1.0, ran.toDouble(DurationUnit.MILLISECONDS))
        return (ln(millis) / ln(RATIO)).toInt().coerceAtMost(BUCKETS - 1)
    }

    private fun fade() {
        for (i in counts.indices) counts[i] *= FADE_RATIO
        total = counts.sum()
    }

    private companion object {
        const val RATIO = 1.1
        const val BUCKETS = 128
        const val FADE_AT = 10_000.0
        const val FADE_RATIO = 0.5
    }
}
