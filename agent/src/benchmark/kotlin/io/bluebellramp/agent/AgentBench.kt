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
private const val LEDGER_RUN_SECONDS = 600

/** Measures the core of an agent in virtual time: CPU time and bytes per task, and the memory of the ledger. */
fun main() {
    listOf(40, 160).forEach(::measureLedger)
    repeat(2) { measureTasks() }
}

private fun measureLedger(rate: Int) {
    val clock = ManualClock()
    val ledger = StartLedger(clock, AgentOptions())
    repeat(rate * LEDGER_RUN_SECONDS) {
        clock.now += 1_000_000.microseconds / rate
        val reference = TaskReference(SubmissionId.create(clock.wall()), 0, 0)
        ledger.admit(reference, idempotent = false)
        ledger.start(reference)
        if (it % rate == 0) ledger.expire()
    }
    println("ledger at $rate starts/s for 10 min: ${ledger.size} tasks, ${ledger.bytes} bytes, ${ledger.bytes / ledger.size} bytes a task")
}

private fun measureTasks() {
    val load = SimulatedWorkload()
    val threads = ManagementFactory.getThreadMXBean()
    val startNanos = threads.currentThreadCpuTime
    load.dispatchAll()
    val micros = (threads.currentThreadCpuTime - startNanos) / NANOS_PER_MICRO / TASKS
    println(
        "core with JSON, $TASKS tasks at 160/s: $micros us a task, ${load.inBytes / TASKS} B in and ${load.outBytes / TASKS} B out a task",
    )
    val runtime = Runtime.getRuntime()
    System.gc()
    println("heap used after it: ${(runtime.totalMemory() - runtime.freeMemory()) / 1024} KiB")
    println("ledger: ${load.snapshot.ledgerTasks} tasks, ${load.snapshot.ledgerBytes} bytes")
}

private class SimulatedWorkload {
    private val clock = ManualClock()
    private val incarnation = IncarnationId("a.1")
    private val core = AgentCore(AgentHello(AgentId("a1"), incarnation, SiteId("s1"), ZoneId("z1")), clock)
    private val connection = ConnectionId(1)
    private val announcement = TargetAnnouncement(TargetId("t1"), ServiceId("render"), Address("127.0.0.1:1"))
    private var submission = SubmissionId.create(clock.wall())
    private var dispatched = 0
    private var received = 0L
    private var credits = 0
    var inBytes = 0L
    var outBytes = 0L
    val snapshot get() = core.snapshot()

    fun dispatchAll() {
        step(AgentInput.ConnectionOpened(connection))
        receive(EntryFrame(hello = EntryHello(EntryId("e1"), IncarnationId("run1"))))
        while (dispatched < TASKS) {
            clock.now += 50.milliseconds
            step(AgentInput.TargetAnnounced(announcement))
            step(AgentInput.Tick)
            val dispatches = List(minOf(credits, 8)) { nextDispatch() }
            credits -= dispatches.size
            receive(EntryFrame(demand = Demand(50, 50), dispatches = dispatches, received = received))
        }
    }

    private fun nextDispatch(): Dispatch {
        if (dispatched % TASKS_PER_JOB == 0) submission = SubmissionId.create(clock.wall())
        return Dispatch(submission, dispatched++ % TASKS_PER_JOB, 0, incarnation, DispatchKind.TASK, "sleep:120;echo:hello", 60_000)
    }

    private fun receive(frame: EntryFrame) {
        val text = WireJson.encodeToString(EntryFrame.serializer(), frame)
        inBytes += text.length
        step(AgentInput.FrameReceived(connection, WireJson.decodeFromString(EntryFrame.serializer(), text)))
    }

    private fun step(input: AgentInput) {
        for (action in core.step(input)) {
            when (action) {
                is AgentAction.SendFrame -> onFrameSent(action.frame)
                is AgentAction.CallTarget -> step(AgentInput.CallEnded(reference(action), CallResult.Done("hello"), Duration.ZERO))
                else -> Unit
            }
        }
    }

    private fun onFrameSent(frame: AgentFrame) {
        outBytes += WireJson.encodeToString(AgentFrame.serializer(), frame).length
        credits += frame.credits?.slots ?: 0
        received += frame.outcomes.size
        val request = frame.permitRequest ?: return
        receive(EntryFrame(permit = Permit(request.sequence, Revision(1), 2000, true, 8, 64, 30_000, emptyList())))
    }

    private fun reference(action: AgentAction.CallTarget) = TaskReference(action.call.submission, action.call.task, action.call.attempt)
}
