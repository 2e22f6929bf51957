package io.bluebellramp.bench

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.random.asJavaRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** A job of a run: when it arrives and how long its tasks run. */
internal class JobPlan(
    val index: Int,
    val at: Duration,
    val tasks: List<Duration>,
) {
    /** Run time of all tasks. */
    val work: Duration = tasks.fold(Duration.ZERO, Duration::plus)
}

/**
 * The shape of a load.
 *
 * @property load run time of all tasks over the time of all slots
 * @property length time over which jobs arrive
 * @property meanWidth mean number of tasks of a job, log-normal
 * @property widest most tasks of a job
 * @property timeScale factor on the run time of each task
 * @property burstEvery time between bursts, or null for none
 * @property burstJobs jobs that arrive together in a burst
 */
internal data class WorkloadSettings(
    val load: Double,
    val slots: Int,
    val length: Duration,
    val seed: Long,
    val meanWidth: Double = 18.0,
    val widest: Int = 1800,
    val timeScale: Double = 1.0,
    val burstEvery: Duration? = null,
    val burstJobs: Int = 10,
)

/** Draws the jobs of a run. The same settings give the same jobs. */
internal class Workload(
    private val settings: WorkloadSettings,
) {
    private val random = Random(settings.seed)

    /** All jobs in the order of their arrival. */
    fun jobs(): List<JobPlan> {
        val arrivals = poisson(jobsPerSecond()) + bursts()
        return arrivals.sorted().mapIndexed { index, at -> JobPlan(index = index, at = at, tasks = List(width()) { runTime() }) }
    }

    /** Arrivals a second that give the load, without bursts. */
    private fun jobsPerSecond(): Double {
        val meanSeconds = MEAN_RUN_TIME.toDouble(DurationUnit.SECONDS) * settings.timeScale
        val jobs = settings.load * settings.slots / (meanSeconds * settings.meanWidth)
        val burst = settings.burstEvery?.let { settings.burstJobs / it.toDouble(DurationUnit.SECONDS) } ?: 0.0
        return maxOf(0.0, jobs - burst)
    }

    private fun poisson(rate: Double): List<Duration> {
        if (rate <= 0.0) return emptyList()
        return generateSequence(gap(rate)) { it + gap(rate) }.takeWhile { it < settings.length }.toList()
    }

    private fun gap(rate: Double): Duration = (-ln(1.0 - random.nextDouble()) / rate).seconds

    private fun bursts(): List<Duration> {
        val every = settings.burstEvery ?: return emptyList()
        val times = generateSequence(every) { it + every }.takeWhile { it < settings.length }.toList()
        return times.flatMap { at -> List(settings.burstJobs) { at } }
    }

    private fun width(): Int {
        val mu = ln(settings.meanWidth) - WIDTH_SIGMA * WIDTH_SIGMA / 2
        val width = exp(mu + WIDTH_SIGMA * random.asJavaRandom().nextGaussian())
        return width.roundToInt().coerceIn(1, settings.widest)
    }

    private fun runTime(): Duration {
        val range = if (random.nextDouble() < LONG_SHARE) LONG else SHORT
        val millis = random.nextDouble(range.start, range.endInclusive) * settings.timeScale
        return maxOf(1.0, millis).roundToInt().milliseconds
    }

    private companion object {
        const val WIDTH_SIGMA = 1.5
        const val LONG_SHARE = 0.03

        /** Run times (ms). */
        val SHORT = 50.0..1000.0

        /** Run times of the few long tasks (ms). */
        val LONG = 1000.0..4000.0
        val MEAN_RUN_TIME = (0.97 * 525 + 0.03 * 2500).milliseconds
    }
}
