package io.bluebellramp.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * What a placement decision knows of the room at one agent.
 *
 * @property freeMilliCpu processor capacity not in use, less what was sent since the report (thousandths of a core; below 0 if more was sent)
 * @property workAhead work that waits there and goes before a new task, with what was sent since the report (thousandths of a core times ms)
 * @property slowness run time over estimate of recent tasks
 * @property failing share of recent tasks that failed or stood still
 * @property age time since the report
 */
data class RoomView<A>(
    val agent: A,
    val milliCpu: Int,
    val freeMilliCpu: Int,
    val freeMemoryMb: Int,
    val workAhead: Long,
    val slowness: Double,
    val failing: Double,
    val age: Duration,
) {
    /** Returns how long a task that needs [milliCpu] and [memoryMb] is likely to wait here. */
    fun expectedWait(
        milliCpu: Int,
        memoryMb: Int,
    ): Duration {
        if (freeMilliCpu >= milliCpu && freeMemoryMb >= memoryMb) return Duration.ZERO
        val missing = (milliCpu - freeMilliCpu).coerceAtLeast(0)
        val behind = workAhead + missing * TYPICAL_REMAINING.inWholeMilliseconds
        return (behind / this.milliCpu.coerceAtLeast(1)).milliseconds.coerceAtLeast(SHORTEST_WAIT)
    }

    /** Returns the time that runs of a task of [estimate] which fail here are likely to take before one ends well. */
    fun expectedRework(estimate: Duration): Duration = estimate * (1.0 / (1.0 - failing.coerceIn(0.0, MOST_FAILING)) - 1.0)

    /** Returns how long a task of [estimate] is likely to take here, with the runs that fail before it. */
    fun expectedRun(estimate: Duration): Duration = estimate * (slowness / (1.0 - failing.coerceIn(0.0, MOST_FAILING)))

    /** Returns the view with one more task sent there. */
    fun withTask(
        milliCpu: Int,
        memoryMb: Int,
        estimate: Duration,
    ): RoomView<A> {
        val free = freeMilliCpu - milliCpu
        val queued = if (free < 0) milliCpu * estimate.inWholeMilliseconds else 0
        return copy(freeMilliCpu = free, freeMemoryMb = freeMemoryMb - memoryMb, workAhead = workAhead + queued)
    }

    /** Tells whether a task with these needs could ever run here. */
    fun canHold(milliCpu: Int) = milliCpu <= this.milliCpu

    private companion object {
        /** Time until half of the running tasks of a full target have ended; typical for sub-second tasks. */
        val TYPICAL_REMAINING = 150.milliseconds

        /** A full target frees room in steps; this is one of them. */
        val SHORTEST_WAIT = 10.milliseconds

        /** A target that fails everything counts as twenty times as slow: it is tried last, but tried. */
        const val MOST_FAILING = 0.95
    }
}
