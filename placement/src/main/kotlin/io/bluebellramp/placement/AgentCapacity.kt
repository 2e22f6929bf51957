package io.bluebellramp.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The free capacity and health of one agent, as an input to placement decisions.
 *
 * @property freeMilliCpu free processor capacity in thousandths of a core, less the tasks sent since the report; may be negative
 * @property workAheadCpuMicros estimated processor time of the tasks that would start before a new one, including those sent since the
 * report (core-microseconds)
 * @property slowness ratio of run time to estimate of recent tasks
 * @property failureRate share of recent tasks that failed or stalled
 * @property reportAge time since the last report of the agent
 */
data class AgentCapacity<A>(
    val agent: A,
    val milliCpu: Int,
    val freeMilliCpu: Int,
    val freeMemoryMb: Int,
    val workAheadCpuMicros: Long,
    val slowness: Double,
    val failureRate: Double,
    val reportAge: Duration,
) {
    /** Returns the expected time until a task that needs [milliCpu] and [memoryMb] starts here. */
    fun expectedWait(
        milliCpu: Int,
        memoryMb: Int,
    ): Duration {
        if (freeMilliCpu >= milliCpu && freeMemoryMb >= memoryMb) return Duration.ZERO
        val missingMilliCpu = (milliCpu - freeMilliCpu).coerceAtLeast(0)
        val totalCpuMicros = workAheadCpuMicros + missingMilliCpu * TYPICAL_REMAINING_RUN_TIME.inWholeMilliseconds
        return (totalCpuMicros / this.milliCpu.coerceAtLeast(1)).milliseconds.coerceAtLeast(MIN_WAIT)
    }

    /** Returns the expected time lost to failed runs of a task of [estimate] before one succeeds here. */
    fun expectedFailedRunTime(estimate: Duration): Duration = estimate * (1.0 / (1.0 - failureRate.coerceIn(0.0, MAX_FAILURE_RATE)) - 1.0)

    /** Returns the expected time to run a task of [estimate] here, including failed runs. */
    fun expectedRunTime(estimate: Duration): Duration = estimate * (slowness / (1.0 - failureRate.coerceIn(0.0, MAX_FAILURE_RATE)))

    /** Returns a copy in which one more task was sent to the agent. */
    fun withTask(
        milliCpu: Int,
        memoryMb: Int,
        estimate: Duration,
    ): AgentCapacity<A> {
        val remainingMilliCpu = freeMilliCpu - milliCpu
        val queuedCpuMicros = if (remainingMilliCpu < 0) milliCpu * estimate.inWholeMilliseconds else 0
        return copy(
            freeMilliCpu = remainingMilliCpu,
            freeMemoryMb = freeMemoryMb - memoryMb,
            workAheadCpuMicros =
                workAheadCpuMicros + queuedCpuMicros,
        )
    }

    /** Returns whether the agent has enough processor capacity in total to run a task that needs [milliCpu]. */
    fun canFit(milliCpu: Int) = milliCpu <= this.milliCpu

    private companion object {
        /** Typical time until half of the running sub-second tasks of a full target have ended. */
        val TYPICAL_REMAINING_RUN_TIME = 150.milliseconds

        /** A full target frees capacity one task at a time, so a wait for it is never shorter than this. */
        val MIN_WAIT = 10.milliseconds

        /** A target where every task fails counts as twenty times as slow: it is chosen last, but not excluded. */
        const val MAX_FAILURE_RATE = 0.95
    }
}
