package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Whether a job can be answered before its deadline. */
sealed interface DeadlineForecast {
    /** The deadline can be met, as far as is known. */
    data object Reachable : DeadlineForecast

    /** Even [estimate], an optimistic response time, exceeds the remaining time. */
    data class Unreachable(
        val estimate: Duration,
    ) : DeadlineForecast
}

/**
 * Learns the run times of the tasks of one service from the tasks that ended. Declared run times are not used.
 *
 * It ranks targets by speed, estimates the ideal response time of a job, and tells which deadlines cannot be met.
 */
class RunTimeModel : IdealResponseTime {
    private val histogram = RunTimeHistogram()
    private val targets = HashMap<TargetId, MovingAverage>()
    private val service = MovingAverage(SERVICE_WINDOW_SAMPLES)

    /** Number of available slots of the service, kept up to date by the code that tracks the targets. */
    var slots: Int = DEFAULT_SLOTS
        set(value) {
            field = maxOf(1, value)
        }

    /** Mean run time of a task. */
    val mean: Duration get() = if (service.count == 0) DEFAULT_RUN_TIME else service.value.milliseconds

    /** Records that a task on [target] ran for [ran]. */
    fun observe(
        target: TargetId,
        ran: Duration,
    ) {
        val millis = ran.toDouble(DurationUnit.MILLISECONDS)
        service.add(millis)
        targets.getOrPut(target) { MovingAverage(TARGET_WINDOW_SAMPLES) }.add(millis)
        histogram.add(ran)
    }

    /** Discards what was learned about [target]. */
    fun forget(target: TargetId) {
        targets.remove(target)
    }

    /**
     * Returns the ratio of the mean run time on [target] to that of the service.
     *
     * The samples of the target are averaged with [PRIOR_SAMPLES] average ones, so that a straggler is detected after a few tasks but a
     * single long task does not make a target one.
     */
    fun slowness(target: TargetId): Double {
        val average = targets[target] ?: return 1.0
        if (service.value <= 0.0) return 1.0
        return (average.weight * average.value / service.value + PRIOR_SAMPLES) / (average.weight + PRIOR_SAMPLES)
    }

    /** Returns the run time that a [share] of the tasks, from 0 to 1, does not exceed. */
    fun quantile(share: Double): Duration = histogram.quantile(share) ?: DEFAULT_RUN_TIME

    override fun ofJob(tasks: Int): Duration = maxOf(mean * tasks / slots, typicalLongestRunTime(tasks))

    /**
     * Forecasts whether a job of [tasks] tasks can be answered within [remaining] if [tasksAhead] tasks start before it.
     *
     * It errs towards acceptance: it assumes half of the mean run time, and that every deadline can be met until enough tasks have ended.
     */
    fun forecast(
        tasks: Int,
        tasksAhead: Int,
        remaining: Duration,
    ): DeadlineForecast {
        if (service.count < MIN_SAMPLES) return DeadlineForecast.Reachable
        val rounds = (tasksAhead.toDouble() + tasks) / slots
        val estimate = mean * rounds * OPTIMISTIC_RUN_TIME_SHARE
        return if (estimate > remaining) DeadlineForecast.Unreachable(estimate) else DeadlineForecast.Reachable
    }

    /** Returns whether [forecast] finds that the deadline can be met. */
    fun canMeet(
        tasks: Int,
        tasksAhead: Int,
        remaining: Duration,
    ): Boolean = forecast(tasks, tasksAhead, remaining) is DeadlineForecast.Reachable

    /** Returns the typical longest run time among [tasks] tasks. */
    private fun typicalLongestRunTime(tasks: Int): Duration = quantile(tasks / (tasks + 1.0))

    /** An exponentially weighted moving average that starts as an arithmetic mean. */
    private class MovingAverage(
        private val windowSamples: Int,
    ) {
        var count = 0
            private set
        var value = 0.0
            private set

        /** Number of samples that the value represents. */
        val weight: Int get() = minOf(count, windowSamples)

        fun add(sample: Double) {
            count++
            value += (sample - value) / weight
        }
    }

    private companion object {
        const val DEFAULT_SLOTS = 8
        const val SERVICE_WINDOW_SAMPLES = 200
        const val TARGET_WINDOW_SAMPLES = 30
        const val MIN_SAMPLES = 20
        const val PRIOR_SAMPLES = 8
        const val OPTIMISTIC_RUN_TIME_SHARE = 0.5
        val DEFAULT_RUN_TIME = 500.milliseconds
    }
}
