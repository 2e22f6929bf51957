package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.AgentId
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.EntryHello
import io.bluebellramp.messages.Permit
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TaskReference
import java.lang.management.ManagementFactory
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.milliseconds

private const val TASKS = 100_000
private const val TASKS_PER_JOB = 18
private const val NANOS_PER_MICRO = 1000.0
private const val LEDGER_TIME_SECONDS = 600

/** Measures an agent's core in virtual time: processor time and bytes a task, and the memory of the ledger. */
fun main() {
    listOf(40, 160).forEach(::measureLedger)
    repeat(2) { measureTasks() }
}

private fun measureLedger(rate: Int) {
    val clock = ManualClock()
    val ledger = StartLedger(clock, AgentOptions())
    repeat(rate * LEDGER_TIME_SECONDS) {
        clock.now += 1_000_000.microseconds / rate
        val reference = TaskReference(SubmissionId.create(clock.wall()), 0, 0)
        ledger.admit(reference, idempotent = false)
        ledger.start(reference)
        if (it % rate == 0) ledger.expire()
    }
    println("ledger at $rate starts/s for 10 min: ${ledger.size} tasks, ${ledger.bytes} bytes, ${ledger.bytes / ledger.size} bytes a task")
}

private fun measureTasks() {
    val run = BenchRun()
    val threads = ManagementFactory.getThreadMXBean()
    val before = threads.currentThreadCpuTime
    run.work()
    val micros = (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / TASKS
    println(
        "core with JSON, $TASKS tasks at 160/s: $micros us a task, ${run.inBytes / TASKS} B in and ${run.outBytes / TASKS} B out a task",
    )
    val runtime = Runtime.getRuntime()
    System.gc()
    println("heap used after it: ${(runtime.totalMemory() - runtime.freeMemory()) / 1024} KiB")
    println("ledger: ${run.view.ledgerTasks} tasks, ${run.view.ledgerBytes} bytes")
}

private class BenchRun {
    private val clock = ManualClock()
    private val incarnation = IncarnationId("a.1")
    private val core = AgentCore(AgentHello(AgentId("a1"), incarnation, SiteId("s1"), ZoneId("z1")), clock)
    private val link = ConnectionId(1)
    private val announcement = TargetAnnouncement(TargetId("t1"), ServiceId("render"), Address("127.0.0.1:1"))
    private var submission = SubmissionId.create(clock.wall())
    private var dispatched = 0
    private var received = 0L
    private var credits = 0
    var inBytes = 0L
    var outBytes = 0L
    val view get() = core.view()

    fun work() {
        step(AgentInput.ConnectionOpened(link))
        receive(EntryFrame(hello = EntryHello(EntryId("e1"), IncarnationId("run1"))))
        while (dispatched < TASKS) {
            clock.now += 50.milliseconds
            step(AgentInput.TargetAnnounced(announcement))
            step(AgentInput.Tick)
            val work = List(minOf(credits, 8)) { next() }
            credits -= work.size
            receive(EntryFrame(demand = Demand(50, 50), dispatches = work, received = received))
        }
    }

    private fun next(): Dispatch {
        if (dispatched % TASKS_PER_JOB == 0) submission = SubmissionId.create(clock.wall())
        return Dispatch(submission, dispatched++ % TASKS_PER_JOB, 0, incarnation, DispatchKind.TASK, "sleep:120;echo:hello", 60_000)
    }

    private fun receive(frame: EntryFrame) {
        val text = WireJson.encodeToString(EntryFrame.serializer(), frame)
        inBytes += text.length
        step(AgentInput.FrameReceived(link, WireJson.decodeFromString(EntryFrame.serializer(), text)))
    }

    private fun step(input: AgentInput) {
        for (action in core.step(input)) {
            when (action) {
                is AgentAction.Send -> sent(action.frame)
                is AgentAction.Start -> step(AgentInput.CallEnded(reference(action), CallResult.Done("hello"), Duration.ZERO))
                else -> Unit
            }
        }
    }

    private fun sent(frame: AgentFrame) {
        outBytes += WireJson.encodeToString(AgentFrame.serializer(), frame).length
        credits += frame.credits?.slots ?: 0
        received += frame.outcomes.size
        val request = frame.permitRequest ?: return
        receive(EntryFrame(permit = Permit(request.sequence, Revision(1), 2000, true, 8, 64, 30_000, emptyList())))
    }

    private fun reference(start: AgentAction.Start) = TaskReference(start.call.submission, start.call.task, start.call.attempt)
}
