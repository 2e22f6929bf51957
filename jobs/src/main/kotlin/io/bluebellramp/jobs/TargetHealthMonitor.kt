package io.bluebellramp.jobs

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Detects from the ends and the progress of runs that a target is slow, or that runs fail or stall there. */
internal class TargetHealthMonitor {
    private val slowness = Slowness()
    private val failureRate = FailureRate()

    /** Returns the ratio of run time to estimate of recent runs, rounded to two decimals: a report is sent only when it changes. */
    fun slowness(now: Duration): Double = slowness.value(now).rounded()

    /** Returns the share of recent runs that failed or stalled, rounded to two decimals. */
    fun failureRate(now: Duration): Double = failureRate.value(now).rounded()

    fun reset() {
        slowness.reset()
        failureRate.reset()
    }

    fun runCompleted(
        run: Run,
        ran: Duration,
        now: Duration,
    ) {
        slowness.taskCompleted(now, ran, run.estimate)
        failureRate.record(now, failed = false)
    }

    fun runFailed(now: Duration) = failureRate.record(now, failed = true)

    /** Records that [run] is at [percent]. Returns true if it has stalled and should be stopped. */
    fun hasStalled(
        run: Run,
        percent: Int,
        now: Duration,
    ): Boolean {
        val unchangedFor = run.updateProgress(percent, now)
        val ran = now - run.orderedAt
        if (percent > 0) slowness.taskOverdue(now, ran * ALL_PERCENT / percent, run.estimate)
        if (run.state != RunState.RUNNING || unchangedFor < maxOf(MIN_STALL_TIME, run.estimate * STALL_ESTIMATE_SHARE)) return false
        failureRate.record(now, failed = true)
        return true
    }

    private fun Double.rounded() = Math.round(this * ROUNDING_FACTOR) / ROUNDING_FACTOR

    private companion object {
        /** A run without progress for this long has stalled. The target lists its runs at least every 150 ms. */
        val MIN_STALL_TIME = 320.milliseconds

        /** The same as a share of the estimate, which may be too low by half: progress is reported in whole percent. */
        const val STALL_ESTIMATE_SHARE = 0.2
        const val ALL_PERCENT = 100
        const val ROUNDING_FACTOR = 100.0
    }
}
