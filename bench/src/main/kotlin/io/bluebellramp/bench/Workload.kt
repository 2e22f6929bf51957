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

/** Planned job of a run: its time of arrival and the run time of each of its tasks. */
internal class JobPlan(
    val index: Int,
    val arrivesAt: Duration,
    val tasks: List<Duration>,
) {
    /** Total run time of all tasks. */
    val work: Duration = tasks.fold(Duration.ZERO, Duration::plus)
}

/**
 * Parameters of a generated load.
 *
 * @property load total run time of all tasks divided by the total time of all slots
 * @property length time over which jobs arrive
 * @property meanWidth mean number of tasks of a job; the number is log-normally distributed
 * @property maxWidth maximum number of tasks of a job
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
    val maxWidth: Int = 1800,
    val timeScale: Double = 1.0,
    val burstEvery: Duration? = null,
    val burstJobs: Int = 10,
)

/** Generates the jobs of a run at random. The same settings always give the same jobs. */
internal class Workload(
    private val settings: WorkloadSettings,
) {
    private val random = Random(settings.seed)

    /** Returns all jobs in order of arrival. */
    fun jobs(): List<JobPlan> {
        val arrivals = poissonArrivals(jobsPerSecond()) + burstArrivals()
        return arrivals.sorted().mapIndexed { i, at -> JobPlan(index = i, arrivesAt = at, tasks = List(drawWidth()) { drawRunTime() }) }
    }

    /** Rate of the Poisson arrivals (1/s), so that they and the bursts together give the configured load. */
    private fun jobsPerSecond(): Double {
        val meanSeconds = MEAN_RUN_TIME.toDouble(DurationUnit.SECONDS) * settings.timeScale
        val jobs = settings.load * settings.slots / (meanSeconds * settings.meanWidth)
        val burst = settings.burstEvery?.let { settings.burstJobs / it.toDouble(DurationUnit.SECONDS) } ?: 0.0
        return maxOf(0.0, jobs - burst)
    }

    private fun poissonArrivals(rate: Double): List<Duration> {
        if (rate <= 0.0) return emptyList()
        return generateSequence(nextInterarrivalTime(rate)) { it + nextInterarrivalTime(rate) }.takeWhile { it < settings.length }.toList()
    }

    private fun nextInterarrivalTime(rate: Double): Duration = (-ln(1.0 - random.nextDouble()) / rate).seconds

    private fun burstArrivals(): List<Duration> {
        val every = settings.burstEvery ?: return emptyList()
        val times = generateSequence(every) { it + every }.takeWhile { it < settings.length }.toList()
        return times.flatMap { at -> List(settings.burstJobs) { at } }
    }

    private fun drawWidth(): Int {
        val mu = ln(settings.meanWidth) - WIDTH_LOG_DEVIATION * WIDTH_LOG_DEVIATION / 2
        val width = exp(mu + WIDTH_LOG_DEVIATION * random.asJavaRandom().nextGaussian())
        return width.roundToInt().coerceIn(1, settings.maxWidth)
    }

    private fun drawRunTime(): Duration {
        val range = if (random.nextDouble() < LONG_TASK_SHARE) LONG_RUN_MILLIS else SHORT_RUN_MILLIS
        val millis = random.nextDouble(range.start, range.endInclusive) * settings.timeScale
        return maxOf(1.0, millis).roundToInt().milliseconds
    }

    private companion object {
        const val WIDTH_LOG_DEVIATION = 1.5
        const val LONG_TASK_SHARE = 0.03

        /** Run times of most tasks (ms). */
        val SHORT_RUN_MILLIS = 50.0..1000.0

        /** Run times of the [LONG_TASK_SHARE] of long tasks (ms). */
        val LONG_RUN_MILLIS = 1000.0..4000.0
        val MEAN_RUN_TIME = (0.97 * 525 + 0.03 * 2500).milliseconds
    }
}
