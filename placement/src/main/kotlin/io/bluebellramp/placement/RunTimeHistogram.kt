package io.bluebellramp.placement

import kotlin.math.ln
import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * A histogram of run times whose buckets grow by a constant ratio. Old samples decay, so that it follows changes.
 *
 * The relative error of a quantile is at most the ratio of two neighbouring buckets.
 */
internal class RunTimeHistogram {
    private val counts = DoubleArray(BUCKET_COUNT)
    private var total = 0.0

    fun add(ran: Duration) {
        counts[bucketOf(ran)] += 1.0
        total += 1.0
        if (total >= DECAY_AT_SAMPLES) decay()
    }

    /** Returns the run time that a [share] of the samples does not exceed, or null if there is no sample. */
    fun quantile(share: Double): Duration? {
        if (total == 0.0) return null
        var remaining = share.coerceIn(0.0, 1.0) * total
        val index = counts.indexOfFirst { count -> (remaining - count).also { remaining = it } <= 0.0 }
        return BUCKET_RATIO.pow(if (index < 0) BUCKET_COUNT - 1 else index).milliseconds
    }

    private fun bucketOf(ran: Duration): Int {
        val millis = maxOf(1.0, ran.toDouble(DurationUnit.MILLISECONDS))
        return (ln(millis) / ln(BUCKET_RATIO)).toInt().coerceAtMost(BUCKET_COUNT - 1)
    }

    private fun decay() {
        for (i in counts.indices) counts[i] *= DECAY_FACTOR
        total = counts.sum()
    }

    private companion object {
        const val BUCKET_RATIO = 1.1
        const val BUCKET_COUNT = 128
        const val DECAY_AT_SAMPLES = 10_000.0
        const val DECAY_FACTOR = 0.5
    }
}
