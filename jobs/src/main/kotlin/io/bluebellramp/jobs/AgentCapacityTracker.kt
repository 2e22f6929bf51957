package io.bluebellramp.jobs

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.RoomReport
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.placement.AgentCapacity
import kotlin.time.Duration

/** Tracks the capacity of one agent, as an entry knows it: the last report and the tasks dispatched since. */
internal class AgentCapacityTracker(
    private val link: LinkId,
    val name: String,
    val zone: ZoneId,
) {
    private class DispatchedTasks(
        val lastTaskNumber: Long,
        val queue: String,
        val milliCpu: Int,
        val memoryMb: Int,
        val cpuMicros: Long,
    )

    private var report = RoomReport(accepting = false)
    private var reportedAt = Duration.ZERO
    private val unacknowledged = ArrayDeque<DispatchedTasks>()
    private var unacknowledgedMilliCpu = 0
    private var unacknowledgedMemoryMb = 0
    private var dispatchedTaskCount = 0L

    /** The capacity for a new task of each queue that was asked for since the last change; its report age is that of the first question. */
    private val knownCapacities = HashMap<String, AgentCapacity<LinkId>>()

    fun update(
        next: RoomReport,
        now: Duration,
    ) {
        report = next
        reportedAt = now
        while (unacknowledged.isNotEmpty() && unacknowledged.first().lastTaskNumber <= next.received) {
            val acknowledged = unacknowledged.removeFirst()
            unacknowledgedMilliCpu -= acknowledged.milliCpu
            unacknowledgedMemoryMb -= acknowledged.memoryMb
        }
        knownCapacities.clear()
    }

    /** Records that the last report still holds. */
    fun confirm(now: Duration) {
        reportedAt = now
    }

    fun addDispatched(dispatch: StepDispatch) {
        val count = dispatch.tasks.size
        dispatchedTaskCount += count
        val cpuMicros = count.toLong() * dispatch.milliCpu * dispatch.estimateMillis
        val tasks = DispatchedTasks(dispatchedTaskCount, dispatch.queue, count * dispatch.milliCpu, count * dispatch.memoryMb, cpuMicros)
        unacknowledged += tasks
        unacknowledgedMilliCpu += tasks.milliCpu
        unacknowledgedMemoryMb += tasks.memoryMb
        knownCapacities.clear()
    }

    /** Returns whether new tasks of [service] may be sent to the agent. */
    fun acceptsTasksOf(
        service: ServiceId,
        zonesOut: Set<ZoneId>,
    ) = report.accepting && report.service == service && zone !in zonesOut

    /** True if the last report accepts new tasks. */
    val isAccepting get() = report.accepting

    /** Returns the time since the last report. */
    fun reportAge(now: Duration) = now - reportedAt

    /** Returns the capacity that is left for a new task of [queue]. */
    fun capacityFor(
        now: Duration,
        queue: String,
    ): AgentCapacity<LinkId> {
        val reportAge = now - reportedAt
        // Waiting tasks ask again at each tick, mostly without a change in between.
        val known = knownCapacities[queue] ?: return computeCapacity(reportAge, queue).also { knownCapacities[queue] = it }
        return if (known.reportAge == reportAge) known else known.copy(reportAge = reportAge)
    }

    private fun computeCapacity(
        reportAge: Duration,
        queue: String,
    ): AgentCapacity<LinkId> {
        val freeMilliCpu = report.freeMilliCpu - unacknowledgedMilliCpu
        val position = positionOf(queue)
        var workAheadCpuMicros = 0L
        for (work in report.waiting) if (isAhead(work.queue, queue, position)) workAheadCpuMicros += work.work
        // Dispatched tasks that exceed the free capacity wait at the agent.
        if (freeMilliCpu < 0) {
            for (tasks in unacknowledged) if (isAhead(tasks.queue, queue, position)) workAheadCpuMicros += tasks.cpuMicros
        }
        return AgentCapacity(
            agent = link,
            milliCpu = report.milliCpu,
            freeMilliCpu = freeMilliCpu,
            freeMemoryMb = report.freeMemoryMb - unacknowledgedMemoryMb,
            workAheadCpuMicros = workAheadCpuMicros,
            slowness = report.slowness,
            failureRate = report.failing,
            reportAge = reportAge,
        )
    }

    /** Returns the place of [queue] among the queues with waiting tasks, or -1. */
    private fun positionOf(queue: String) = report.waiting.indexOfFirst { it.queue == queue }

    /** Returns whether tasks of [other] start before a new task of [queue], which is at [position]. */
    private fun isAhead(
        other: String,
        queue: String,
        position: Int,
    ) = other == queue || positionOf(other) in 0..position
}
