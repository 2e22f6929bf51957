package io.bluebellramp.jobs

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.RoomReport
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.placement.RoomView
import kotlin.time.Duration

/** What an entry knows of the room at one agent: its last report, and what was sent since. */
internal class AgentRoom(
    private val link: LinkId,
    val name: String,
    val zone: ZoneId,
) {
    private class Sent(
        val upTo: Long,
        val queue: String,
        val milliCpu: Int,
        val memoryMb: Int,
        val work: Long,
    )

    private var report = RoomReport(accepting = false)
    private var reportedAt = Duration.ZERO
    private val sent = ArrayDeque<Sent>()
    private var sentTasks = 0L

    fun take(
        next: RoomReport,
        now: Duration,
    ) {
        report = next
        reportedAt = now
        while (sent.isNotEmpty() && sent.first().upTo <= next.received) sent.removeFirst()
    }

    fun note(dispatch: StepDispatch) {
        val count = dispatch.tasks.size
        sentTasks += count
        val work = count.toLong() * dispatch.milliCpu * dispatch.estimateMillis
        sent += Sent(sentTasks, dispatch.queue, count * dispatch.milliCpu, count * dispatch.memoryMb, work)
    }

    /** Tells whether new tasks of [service] may go there. */
    fun isOpenFor(
        service: ServiceId,
        zonesOut: Set<ZoneId>,
    ) = report.accepting && report.service == service && zone !in zonesOut

    /** True if the agent said last that new tasks may start. */
    val isAccepting get() = report.accepting

    /** Time since the last report. */
    fun age(now: Duration) = now - reportedAt

    /** Returns the room as a task of [queue] finds it. */
    fun view(
        now: Duration,
        queue: String,
    ): RoomView<LinkId> {
        val freeCpu = report.freeMilliCpu - sent.sumOf { it.milliCpu }
        val before = queuesBefore(queue)
        // What was sent and does not fit into the free room waits there.
        val sentWork = if (freeCpu < 0) sent.sumOf { if (it.queue in before) it.work else 0L } else 0L
        return RoomView(
            agent = link,
            milliCpu = report.milliCpu,
            freeMilliCpu = freeCpu,
            freeMemoryMb = report.freeMemoryMb - sent.sumOf { it.memoryMb },
            workAhead = report.waiting.sumOf { if (it.queue in before) it.work else 0L } + sentWork,
            slowness = report.slowness,
            failing = report.failing,
            age = now - reportedAt,
        )
    }

    /** The queues whose tasks go before a new task of [queue], with itself. */
    private fun queuesBefore(queue: String): Set<String> {
        val names = report.waiting.map { it.queue }
        val place = names.indexOf(queue)
        return if (place < 0) setOf(queue) else names.take(place + 1).toSet()
    }
}
