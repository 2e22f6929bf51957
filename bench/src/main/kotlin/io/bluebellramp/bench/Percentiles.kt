package io.bluebellramp.bench

import kotlinx.serialization.Serializable
import org.HdrHistogram.DoubleHistogram

/** Percentiles of a set of samples. All are 0 if there is no sample. */
@Serializable
internal data class Percentiles(
    val samples: Long,
    val median: Double,
    val p90: Double,
    val p99: Double,
    val p999: Double,
    val max: Double,
    val mean: Double,
) {
    /** Returns the percentiles as one line of text. */
    fun summary(): String = "median %.3f, p90 %.3f, p99 %.3f, p99.9 %.3f, max %.3f (%d)".format(median, p90, p99, p999, max, samples)

    companion object {
        private const val SIGNIFICANT_DIGITS = 4
        private const val HIGHEST_TO_LOWEST_RATIO = 100_000_000L

        /** Returns the percentiles of [values]. */
        fun of(values: Iterable<Double>): Percentiles {
            val histogram = DoubleHistogram(HIGHEST_TO_LOWEST_RATIO, SIGNIFICANT_DIGITS)
            values.forEach { histogram.recordValue(it) }
            if (histogram.totalCount == 0L) return Percentiles(0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0)
            return Percentiles(
                samples = histogram.totalCount,
                median = histogram.getValueAtPercentile(50.0),
                p90 = histogram.getValueAtPercentile(90.0),
                p99 = histogram.getValueAtPercentile(99.0),
                p999 = histogram.getValueAtPercentile(99.9),
                max = histogram.maxValue,
                mean = histogram.mean,
            )
        }
    }
}
