package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/** Tells whether a job can be answered before its deadline. */
sealed interface DeadlineForecast {
    /** It can, as far as is known. */
    data object Reachable : DeadlineForecast

    /** Even a favourable [estimate] of its response is longer than what remains. */
    data class Unreachable(
        val estimate: Duration,
    ) : DeadlineForecast
}

/**
 * Learns how long the tasks of one service run, from the tasks that ended. Declared run times play no part.
 *
 * Use it to rank targets by speed, to tell a job's ideal response, and to refuse a job whose deadline cannot be met.
 */
class RunTimeModel : IdealResponse {
    private val sketch = RunTimeSketch()
    private val targets = HashMap<TargetId, Average>()
    private val service = Average(SERVICE_WINDOW)

    /** Slots of the service that are in service, as last known. Whoever learns of targets sets it. */
    var slots: Int = DEFAULT_SLOTS
        set(value) {
            field = maxOf(1, value)
        }

    /** Mean run time of a task. */
    val mean: Duration get() = if (service.count == 0) FIRST_GUESS else service.value.milliseconds

    /** Notes that a task of [target] ran for [ran]. */
    fun observe(
        target: TargetId,
        ran: Duration,
    ) {
        val millis = ran.toDouble(DurationUnit.MILLISECONDS)
        service.add(millis)
        targets.getOrPut(target) { Average(TARGET_WINDOW) }.add(millis)
        sketch.add(ran)
    }

    /** Forgets [target]. */
    fun forget(target: TargetId) {
        targets.remove(target)
    }

    /**
     * How many times slower [target] is than the service.
     *
     * A target counts as average until its samples say otherwise: they are weighed against [PRIOR_SAMPLES] average ones, so that a
     * real straggler shows after a few tasks and a single long task makes none.
     */
    fun slowness(target: TargetId): Double {
        val average = targets[target] ?: return 1.0
        if (service.value <= 0.0) return 1.0
        return (average.weight * average.value / service.value + PRIOR_SAMPLES) / (average.weight + PRIOR_SAMPLES)
    }

    /** The run time that a [share] of the tasks, from 0 to 1, does not exceed. */
    fun quantile(share: Double): Duration = sketch.quantile(share) ?: FIRST_GUESS

    override fun of(tasks: Int): Duration = maxOf(mean * tasks / slots, typicalLongest(tasks))

    /**
     * Forecasts whether a job of [tasks] tasks can be answered within [remaining], with [tasksAhead] tasks that start before it.
     *
     * It errs on the side of acceptance: it counts half of the mean run time, and nothing until enough tasks have been seen.
     */
    fun forecast(
        tasks: Int,
        tasksAhead: Int,
        remaining: Duration,
    ): DeadlineForecast {
        if (service.count < MIN_SAMPLES) return DeadlineForecast.Reachable
        val rounds = (tasksAhead.toDouble() + tasks) / slots
        val estimate = mean * rounds * FAVOURABLE_SHARE
        return if (estimate > remaining) DeadlineForecast.Unreachable(estimate) else DeadlineForecast.Reachable
    }

    /** Tells whether [forecast] finds the deadline reachable. */
    fun canMeet(
        tasks: Int,
        tasksAhead: Int,
        remaining: Duration,
    ): Boolean = forecast(tasks, tasksAhead, remaining) is DeadlineForecast.Reachable

    /** The longest of [tasks] run times, typically. */
    private fun typicalLongest(tasks: Int): Duration = quantile(tasks / (tasks + 1.0))

    /** An exponentially weighted moving average that starts as a plain mean. */
    private class Average(
        private val window: Int,
    ) {
        var count = 0
            private set
        var value = 0.0
            private set

        /** Samples that the value stands for. */
        val weight: Int get() = minOf(count, window)

        fun add(sample: Double) {
            count++
            value += (sample - value) / weight
        }
    }

    private companion object {
        const val DEFAULT_SLOTS = 8
        const val SERVICE_WINDOW = 200
        const val TARGET_WINDOW = 30
        const val MIN_SAMPLES = 20
        const val PRIOR_SAMPLES = 8
        const val FAVOURABLE_SHARE = 0.5
        val FIRST_GUESS = 500.milliseconds
    }
}
