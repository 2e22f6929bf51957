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
    private var dispatchedTaskCount = 0L

    fun update(
        next: RoomReport,
        now: Duration,
    ) {
        report = next
        reportedAt = now
        while (unacknowledged.isNotEmpty() && unacknowledged.first().lastTaskNumber <= next.received) unacknowledged.removeFirst()
    }

    /** Records that the last report still holds. */
    fun confirm(now: Duration) {
        reportedAt = now
    }

    fun addDispatched(dispatch: StepDispatch) {
        val count = dispatch.tasks.size
        dispatchedTaskCount += count
        val cpuMicros = count.toLong() * dispatch.milliCpu * dispatch.estimateMillis
        unacknowledged +=
            DispatchedTasks(dispatchedTaskCount, dispatch.queue, count * dispatch.milliCpu, count * dispatch.memoryMb, cpuMicros)
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
        val freeMilliCpu = report.freeMilliCpu - unacknowledged.sumOf { it.milliCpu }
        val queuesAhead = queuesAheadOf(queue)
        // Dispatched tasks that exceed the free capacity wait at the agent.
        val dispatchedCpuMicros = if (freeMilliCpu < 0) unacknowledged.sumOf { if (it.queue in queuesAhead) it.cpuMicros else 0L } else 0L
        return AgentCapacity(
            agent = link,
            milliCpu = report.milliCpu,
            freeMilliCpu = freeMilliCpu,
            freeMemoryMb = report.freeMemoryMb - unacknowledged.sumOf { it.memoryMb },
            workAheadCpuMicros = report.waiting.sumOf { if (it.queue in queuesAhead) it.work else 0L } + dispatchedCpuMicros,
            slowness = report.slowness,
            failureRate = report.failing,
            reportAge = now - reportedAt,
        )
    }

    /** Returns [queue] and the queues whose tasks start before a new task of [queue]. */
    private fun queuesAheadOf(queue: String): Set<String> {
        val names = report.waiting.map { it.queue }
        val position = names.indexOf(queue)
        return if (position < 0) setOf(queue) else names.take(position + 1).toSet()
    }
}
