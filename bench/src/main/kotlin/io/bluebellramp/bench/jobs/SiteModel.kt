package io.bluebellramp.bench.jobs

import kotlin.math.ln
import kotlin.math.sin
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration

/** A figure that differs from job to job: log-normal with [mean], [spread] being the deviation over the mean, [most] at most. */
internal data class Spread(
    val mean: Double,
    val spread: Double = 0.0,
    val most: Double = Double.MAX_VALUE,
) {
    fun draw(random: Random): Double {
        if (spread <= 0.0) return mean
        val variance = ln(1 + spread * spread)
        return kotlin.math.exp(ln(mean) - variance / 2 + sqrt(variance) * random.asJavaRandom().nextGaussian()).coerceAtMost(most)
    }
}

/**
 * One kind of request.
 *
 * @property work run time of a task on a target of speed 1 (ms)
 * @property width tasks of a job
 * @property milliCpu processor need of a task
 * @property uneven how far the run times of the tasks of one job differ, as a share
 * @property estimateOff how far the estimate is off, as a share
 * @property worth credit of a job of average work that ends in time; [lateWorth] if it ends within three times that
 */
internal data class RequestKind(
    val name: String,
    val work: Spread,
    val width: Spread,
    val milliCpu: Spread,
    val uneven: Double,
    val estimateOff: Double,
    val stretch: Double,
    val allowance: Duration,
    val patience: Duration,
    val attempts: Int,
    val priority: Int,
    val worth: Double,
    val lateWorth: Double,
)

/** Jobs that come in one availability zone: [perSecond] of them, by [mix], in waves. */
internal data class Arrivals(
    val perSecond: Double,
    val mix: Map<String, Double>,
    val swing: Double,
    val period: Duration,
    val phase: Double,
) {
    /** Returns the rate at [time] (1/s). */
    fun rate(time: Duration) = perSecond * (1 + swing * sin(2 * Math.PI * (time / period + phase)))
}

/** What goes wrong, and when. */
internal data class Trouble(
    val kind: Kind,
    val at: Duration,
    val lasts: Duration,
    val share: Double,
    val factor: Double,
    val requests: String,
) {
    enum class Kind { BURST, SLOW, FAILING, HANGING, CRASHED, CUT }

    fun isOn(now: Duration) = now >= at && now < at + lasts
}

/** Targets of one deployment. */
internal data class TargetKind(
    val milliCpu: Int,
    val memoryMb: Int,
    val speed: Double,
)

/** A deployment and one of its days, as the trial plays it. */
internal data class SiteModel(
    val kinds: List<RequestKind>,
    val arrivals: List<Arrivals>,
    val targets: List<TargetKind>,
    val entries: Int,
    val hop: Duration,
    val troubles: List<Trouble>,
    val length: Duration,
)
