package io.bluebellramp.bench.jobs

import io.bluebellramp.core.ZoneId
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.math.sin
import kotlin.math.sqrt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration

/** Log-normal distribution with [mean], capped at [max]. [variation] is the standard deviation divided by the mean. */
internal data class LogNormalDistribution(
    val mean: Double,
    val variation: Double = 0.0,
    val max: Double = Double.MAX_VALUE,
) {
    fun draw(random: Random): Double {
        if (variation <= 0.0) return mean
        val variance = ln(1 + variation * variation)
        return kotlin.math.exp(ln(mean) - variance / 2 + sqrt(variance) * random.asJavaRandom().nextGaussian()).coerceAtMost(max)
    }
}

/**
 * Properties of one kind of request.
 *
 * @property work run time of a task on a target of speed 1 (ms)
 * @property width number of tasks of a job
 * @property milliCpu processor need of a task
 * @property runTimeVariation maximum relative deviation of the run time of a task from the one drawn for its job
 * @property estimateError maximum relative error of the estimated run time
 * @property worth value of a job of average work that ends within its objective; [lateWorth] if it ends within three times the objective
 */
internal data class RequestKind(
    val name: String,
    val work: LogNormalDistribution,
    val width: LogNormalDistribution,
    val milliCpu: LogNormalDistribution,
    val runTimeVariation: Double,
    val estimateError: Double,
    val stretch: Double,
    val allowance: Duration,
    val callerTimeout: Duration,
    val attempts: Int,
    val priority: Int,
    val worth: Double,
    val lateWorth: Double,
)

/** Arrivals in one availability [zone]: [perSecond] on average, following a sine wave, with the kinds of requests weighted by [mix]. */
internal data class Arrivals(
    val zone: ZoneId,
    val perSecond: Double,
    val mix: Map<String, Double>,
    val amplitude: Double,
    val period: Duration,
    val phase: Double,
) {
    /** Returns the arrival rate at [time] (1/s). */
    fun rate(time: Duration) = perSecond * (1 + amplitude * sin(2 * Math.PI * (time / period + phase)))
}

/** Fault of a [share] of the targets, or a burst of arrivals of [requestKind] (all kinds if empty). */
internal data class Disturbance(
    val kind: Kind,
    val at: Duration,
    val duration: Duration,
    val share: Double,
    val factor: Double,
    val requestKind: String,
) {
    enum class Kind { BURST, SLOW, FAILING, HANGING, CRASHED, CUT }

    fun isActive(now: Duration) = now >= at && now < at + duration
}

/** Size, speed and place of a target. [name] is the kind that it announces. */
internal data class TargetKind(
    val zone: ZoneId,
    val milliCpu: Int,
    val memoryMb: Int,
    val speed: Double,
    val name: String = "",
)

/** Deployment and one of its days, as the simulation runs it. [entries] are the zones of the entries. */
internal data class SiteModel(
    val kinds: List<RequestKind>,
    val arrivals: List<Arrivals>,
    val targets: List<TargetKind>,
    val entries: List<ZoneId>,
    val networkDelay: Duration,
    val disturbances: List<Disturbance>,
    val length: Duration,
) {
    /** Returns the deployment with [factor] times the entries, targets and arrivals, in the same zones. */
    fun scaled(factor: Double): SiteModel =
        copy(
            arrivals = arrivals.map { it.copy(perSecond = it.perSecond * factor) },
            targets = targets.repeated(factor),
            entries = entries.repeated(factor),
        )

    private fun <T> List<T>.repeated(factor: Double): List<T> = List((size * factor).roundToInt()) { this[it % size] }
}
