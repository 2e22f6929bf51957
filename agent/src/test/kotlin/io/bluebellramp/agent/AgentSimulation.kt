package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.AgentId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.Permit
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.placement.PlacementFactory
import io.bluebellramp.placement.RoundRobinGrantPolicy
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Runs an agent between simulated entries and a simulated target from one seed, first with faults and then without. */
internal class AgentSimulation(
    seed: Long,
) {
    private class SimulatedConnection(
        val id: ConnectionId,
        val entry: SimulatedEntry,
        val agentEpoch: Int,
    ) {
        var isOpen = true
        var lastArrivalAtAgent = Duration.ZERO
        var lastArrivalAtEntry = Duration.ZERO
    }

    private val random = Random(seed)
    private val clock = ManualClock(onRead = { if (faultsEnabled && inStep && random.nextInt(4000) == 0) now += 3.seconds })
    private val loop = SimulatedEventLoop(clock)
    private val entries = List(3) { SimulatedEntry("e$it", random).also(SimulatedEntry::restart) }
    private val connections = LinkedHashMap<SimulatedEntry, SimulatedConnection>()
    private val sentDispatches = ArrayList<Dispatch>()
    private val permitRequestedAt = HashMap<Long, Duration>()
    private val announcement = TargetAnnouncement(TargetId("t1"), ServiceId("render"), Address("127.0.0.1:1"))
    private var announcedAt: Duration? = null
    private var targetIsUp = true
    private var faultsEnabled = true
    private var inStep = false
    private var connectionIds = 0L
    private var agentEpoch = 0
    private var frozenUntil = Duration.ZERO
    private var revision = 1L
    private var incarnation = IncarnationId("a.0")
    private lateinit var core: AgentCore
    val checker = AgentInvariantChecker()

    fun run(): AgentInvariantChecker {
        restartAgent()
        loop.every(20.milliseconds) { entries.forEach { runEntry(it) } }
        loop.every(50.milliseconds) { step(AgentInput.Tick) }
        loop.every(300.milliseconds) { announce() }
        loop.every(120.milliseconds) { if (faultsEnabled) injectFault() }
        loop.every(60.milliseconds) { if (faultsEnabled) entries.forEach { submitTasks(it) } }
        loop.runUntil(FAULT_PHASE)
        stopFaults()
        loop.runUntil(clock.now + RECOVERY_PHASE)
        checkFinalState()
        return checker
    }

    private fun injectFault() {
        when (random.nextInt(60)) {
            0 -> {
                restartAgent()
            }

            1 -> {
                entries.random(random).let { entry ->
                    connections[entry]?.let { closeConnection(it) }
                    entry.restart()
                }
            }

            2 -> {
                frozenUntil = clock.now + random.nextLong(4000).milliseconds
            }

            3 -> {
                targetIsUp = !targetIsUp
            }

            4 -> {
                step(AgentInput.TargetLeft)
            }

            5, 6, 7 -> {
                revision++
            }

            in 8..13 -> {
                connections.values.randomOrNull(random)?.let { closeConnection(it) }
            }

            in 14..20 -> {
                resendOldDispatch()
            }
        }
    }

    private fun stopFaults() {
        faultsEnabled = false
        targetIsUp = true
        frozenUntil = Duration.ZERO
        while (!inService(revision) || revision % 4 < 2) revision++
        entries.forEach { it.faultsEnabled = false }
    }

    private fun checkFinalState() {
        for (entry in entries) {
            val unanswered = entry.attemptsAwaitingOutcome(incarnation)
            if (unanswered.isNotEmpty()) checker.addViolation(clock.now, "no outcome", unanswered)
            if (entry.waiting.isNotEmpty()) checker.addViolation(clock.now, "no credit", entry.waiting)
        }
        val state = core.snapshot()
        if (state.tasksRunning + state.tasksQueued + state.requestsRunning != 0) checker.addViolation(clock.now, "slots leaked", state)
    }

    private fun submitTasks(entry: SimulatedEntry) {
        if (entry.waiting.size > 8) return
        val age = if (random.nextInt(20) == 0) listOf(11.minutes, (-2).minutes).random(random) else Duration.ZERO
        val createdAt = clock.wall().minusMillis(age.inWholeMilliseconds)
        val submission = SubmissionId.create(createdAt, random.nextLong(), random.nextLong())
        val kind = if (random.nextInt(4) == 0) DispatchKind.REQUEST else DispatchKind.TASK
        val idempotent = random.nextInt(4) == 0
        repeat(random.nextInt(1, 4)) { task ->
            checker.taskCreated(submission.value, task, idempotent)
            entry.waiting += WaitingTask(submission, task, attempt = 0, kind = kind, idempotent = idempotent).limitRetries(age)
        }
    }

    /** Sets the highest attempt number if the id is out of time, so that the task is not retried. */
    private fun WaitingTask.limitRetries(age: Duration) = if (age == Duration.ZERO) this else copy(attempt = 400)

    private fun runEntry(entry: SimulatedEntry) {
        val connection = connections[entry]
        if (connection == null) openConnection(entry) else sendToAgent(connection, entry.dispatchWaiting())
    }

    private fun openConnection(entry: SimulatedEntry) {
        if (clock.now < frozenUntil || random.nextInt(4) != 0) return
        val connection = SimulatedConnection(ConnectionId(++connectionIds), entry, agentEpoch)
        connections[entry] = connection
        step(AgentInput.ConnectionOpened(connection.id))
        sendToAgent(connection, entry.onConnected())
    }

    private fun closeConnection(connection: SimulatedConnection) {
        if (!connection.isOpen) return
        connection.isOpen = false
        connections.remove(connection.entry)
        connection.entry.onDisconnected()
        at(clock.now + networkDelay()) { if (connection.agentEpoch == agentEpoch) step(AgentInput.ConnectionClosed(connection.id)) }
    }

    private fun sendToAgent(
        connection: SimulatedConnection,
        frame: EntryFrame,
    ) {
        sentDispatches += frame.dispatches
        connection.lastArrivalAtAgent = maxOf(connection.lastArrivalAtAgent, clock.now + networkDelay())
        val copies = if (faultsEnabled && random.nextInt(50) == 0) 2 else 1
        at(connection.lastArrivalAtAgent) { repeat(copies) { deliver(connection, frame) } }
    }

    private fun deliver(
        connection: SimulatedConnection,
        frame: EntryFrame,
    ) {
        if (!connection.isOpen || connection.agentEpoch != agentEpoch) return
        if (clock.now < frozenUntil) return at(frozenUntil) { deliver(connection, frame) }
        frame.permit?.let { checker.permitReceived(it, permitRequestedAt.getValue(it.sequence)) }
        step(AgentInput.FrameReceived(connection.id, frame))
    }

    private fun resendOldDispatch() {
        val dispatch = sentDispatches.randomOrNull(random) ?: return
        connections.values.randomOrNull(random)?.let { sendToAgent(it, EntryFrame(dispatches = listOf(dispatch))) }
    }

    private fun step(input: AgentInput) {
        if (clock.now < frozenUntil) return at(frozenUntil, action = agentEpoch.let { epoch -> { if (epoch == agentEpoch) step(input) } })
        if (input is AgentInput.TargetLeft) announcedAt = null
        inStep = true
        val actions = core.step(input)
        inStep = false
        actions.forEach(::perform)
    }

    private fun perform(action: AgentAction) {
        when (action) {
            is AgentAction.SendFrame -> connections.values.firstOrNull { it.id == action.connection }?.let { sendToEntry(it, action.frame) }
            is AgentAction.CallTarget -> callTarget(action)
            is AgentAction.RecordDecision -> Unit
            is AgentAction.CountDroppedOutcome -> Unit
        }
    }

    private fun sendToEntry(
        connection: SimulatedConnection,
        frame: AgentFrame,
    ) {
        frame.permitRequest?.let { permitRequestedAt[it.sequence] = clock.now }
        frame.outcomes.forEach { checker.outcomeReported(it, incarnation, clock.now) }
        connection.lastArrivalAtEntry = maxOf(connection.lastArrivalAtEntry, clock.now + networkDelay())
        at(connection.lastArrivalAtEntry) {
            if (!connection.isOpen) return@at
            val reply = connection.entry.onFrame(frame)
            val permit = frame.permitRequest?.takeUnless { faultsEnabled && random.nextInt(5) == 0 }?.let { createPermit(it.sequence) }
            sendToAgent(connection, reply.copy(permit = permit))
        }
    }

    private fun createPermit(sequence: Long): Permit {
        val permitRevision = if (faultsEnabled) (revision - random.nextLong(3)).coerceAtLeast(1) else revision
        return Permit(
            sequence = sequence,
            revision = Revision(permitRevision),
            validMillis = if (faultsEnabled) random.nextLong(1500) else 2000,
            inService = inService(permitRevision),
            slots = 1 + (permitRevision % 4).toInt(),
            connections = 3 + (permitRevision % 3).toInt(),
            taskMillis = 5000,
            entries = emptyList(),
        )
    }

    private fun inService(revision: Long) = revision % 3 != 0L

    private fun callTarget(action: AgentAction.CallTarget) {
        val call = action.call
        val reference = TaskReference(call.submission, call.task, call.attempt)
        val epoch = agentEpoch
        val isRefused = clock.now >= action.sendDeadline || random.nextInt(40) == 0
        if (!isRefused) checker.taskStarted(action, clock.now, hasTarget())
        val result =
            when {
                isRefused -> CallResult.NotSent("refused")
                random.nextInt(20) == 0 -> CallResult.Unknown("cut")
                random.nextInt(20) == 0 -> CallResult.Failed("status 500")
                else -> CallResult.Done(reference.toString())
            }
        val duration = random.nextLong(1, 400).milliseconds
        val ended = AgentInput.CallEnded(reference, result, duration)
        at(clock.now + duration) {
            if (epoch != agentEpoch) return@at
            checker.callEnded(reference)
            step(ended)
            if (random.nextInt(20) == 0) step(ended)
        }
    }

    private fun hasTarget() = announcedAt.let { it != null && clock.now - it < AgentOptions().announcementTtl }

    private fun announce() {
        if (!targetIsUp || clock.now < frozenUntil) return
        step(AgentInput.TargetAnnounced(announcement))
        announcedAt = clock.now
    }

    private fun restartAgent() {
        connections.values.toList().forEach { closeConnection(it) }
        agentEpoch++
        frozenUntil = Duration.ZERO
        announcedAt = null
        permitRequestedAt.clear()
        checker.agentRestarted()
        incarnation = IncarnationId("a.$agentEpoch")
        val hello = AgentHello(AgentId("a1"), incarnation, SiteId("s1"), ZoneId("z1"))
        core =
            AgentCore(
                hello = hello,
                clock = clock,
                options = AgentOptions(prefetch = random.nextInt(2)),
                policy = if (random.nextBoolean()) PlacementFactory.grantPolicy() else RoundRobinGrantPolicy(),
            )
    }

    private fun networkDelay() =
        if (faultsEnabled && random.nextInt(20) == 0) random.nextLong(1500).milliseconds else random.nextLong(1, 5).milliseconds

    private fun at(
        time: Duration,
        action: () -> Unit,
    ) = loop.at(time, action)

    private companion object {
        val FAULT_PHASE = 12.seconds
        val RECOVERY_PHASE = 25.seconds
    }
}
