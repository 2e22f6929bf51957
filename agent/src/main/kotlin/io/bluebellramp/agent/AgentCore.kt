package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.EntryHello
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TargetState
import io.bluebellramp.placement.GrantPolicy
import io.bluebellramp.placement.PlacementFactory
import io.bluebellramp.placement.QueueDemand

/**
 * The decision logic of an agent, without I/O: [step] takes an event and returns the actions to perform.
 *
 * Confined to one coroutine. The clock is read again before each start, so that a process that was frozen does not start a task
 * on an expired permit or past its deadline.
 */
internal class AgentCore(
    private val hello: AgentHello,
    clock: Clock,
    options: AgentOptions = AgentOptions(),
    policy: GrantPolicy = PlacementFactory.grantPolicy(),
) {
    private val outbox = Outbox()
    private val connections = LinkedHashMap<ConnectionId, EntryConnection>()
    private val permits = PermitHolder(clock, options)
    private val target = TargetPresence(clock, options)
    private val startGate = StartGate(permits, target)
    private val outcomeDelivery = OutcomeDelivery(clock, options, connections, outbox)
    private val creditIssuer = CreditIssuer(policy, clock, options)
    private val scheduler =
        AttemptScheduler(hello.incarnation, clock, options, permits, target, startGate, outcomeDelivery, connections, outbox)
    private var reportedTarget: TargetState? = null

    /** Handles [input] and returns the actions to perform, in order. */
    fun step(input: AgentInput): List<AgentAction> {
        when (input) {
            is AgentInput.ConnectionOpened -> onConnectionOpened(input.connection)
            is AgentInput.ConnectionClosed -> onConnectionClosed(input.connection)
            is AgentInput.FrameReceived -> connections[input.connection]?.let { onFrameReceived(it, input.frame) }
            is AgentInput.TargetAnnounced -> onTargetAnnounced(input.announcement)
            is AgentInput.TargetLeft -> target.onLeft()
            is AgentInput.CallEnded -> scheduler.onCallEnded(input)
            is AgentInput.Tick -> expireStoredState()
            is AgentInput.ShutdownRequested -> onShutdownRequested()
        }
        reconcile()
        return outbox.drain()
    }

    /** Returns the current state of the agent. */
    fun snapshot() =
        AgentSnapshot(
            tasksRunning = scheduler.taskQueue.running,
            tasksQueued = scheduler.taskQueue.queued,
            requestsRunning = scheduler.requestQueue.running,
            slots = permits.slots,
            permitState = permits.state(),
            permitTimeLeft = permits.timeLeft,
            revision = permits.revision,
            taskTimeout = permits.taskTimeout,
            entries = permits.entries,
            ledgerTasks = scheduler.ledger.size,
            ledgerBytes = scheduler.ledger.bytes,
            pendingOutcomes = outcomeDelivery.size,
            isDrained = startGate.isLeaving && scheduler.isIdle && !outcomeDelivery.hasPending(),
        )

    private fun onConnectionOpened(id: ConnectionId) {
        connections[id] = EntryConnection(id)
        outbox.send(id, AgentFrame(hello = hello, target = target.state, leaving = startGate.isLeaving))
    }

    private fun onConnectionClosed(id: ConnectionId) {
        val connection = connections.remove(id) ?: return
        scheduler.refuseQueued(Refusal.CONNECTION_LOST, id)
        val peer = connection.peer ?: return
        connections.values.lastOrNull { it.peer?.entry == peer.entry }?.isNewest = true
    }

    /** Handles the parts of [frame] in an order in which no part depends on a later one. */
    private fun onFrameReceived(
        connection: EntryConnection,
        frame: EntryFrame,
    ) {
        frame.hello?.let { onHello(connection, it) }
        frame.permit?.let { permits.accept(connection.id, it) }
        frame.received?.let { outcomeDelivery.acknowledge(connection, it) }
        frame.returned?.let {
            connection.taskCredits.takeBack(it.slots)
            connection.requestCredits.takeBack(it.connections)
        }
        scheduler.applyPermitLimits()
        frame.cancels.forEach { scheduler.cancel(connection, it) }
        frame.inquiries.forEach { scheduler.inquire(connection, it) }
        frame.dispatches.forEach { scheduler.dispatch(connection, it) }
        connection.demand = updatedDemand(connection, frame)
    }

    private fun onHello(
        connection: EntryConnection,
        hello: EntryHello,
    ) {
        val peer = EntryIncarnation(hello.entry, hello.incarnation)
        connection.peer = peer
        connections.values.filter { it.peer?.entry == peer.entry }.forEach { it.isNewest = it === connection }
        outcomeDelivery.onHello(peer)
    }

    private fun updatedDemand(
        connection: EntryConnection,
        frame: EntryFrame,
    ): QueueDemand {
        val demand = frame.demand
        if (demand != null) return QueueDemand(demand.tasks, demand.tasksLeft)
        val dispatched = frame.dispatches.count { it.kind == DispatchKind.TASK }
        return connection.demand.copy(tasks = (connection.demand.tasks - dispatched).coerceAtLeast(0))
    }

    private fun onTargetAnnounced(announcement: TargetAnnouncement) {
        val previous = target.announcement
        target.onAnnounced(announcement)
        if (previous == null || (previous.target == announcement.target && previous.service == announcement.service)) return
        scheduler.refuseQueued(Refusal.NO_TARGET)
    }

    private fun onShutdownRequested() {
        startGate.isLeaving = true
        connections.keys.forEach { outbox.send(it, AgentFrame(leaving = true)) }
    }

    private fun expireStoredState() {
        scheduler.ledger.expire()
        outcomeDelivery.expire()
    }

    private fun reconcile() {
        reportTargetState()
        scheduler.startQueued()
        val all = connections.values.toList()
        val refusal = startGate.refusal()
        if (refusal == null) {
            creditIssuer.issue(all, scheduler.taskQueue, scheduler.requestQueue, outbox)
        } else {
            scheduler.refuseQueued(refusal)
            creditIssuer.recallAll(all, outbox)
        }
        val request = permits.nextRequest(all.filter { it.peer != null }.map { it.id }) ?: return
        outbox.send(request.connection, AgentFrame(permitRequest = request.request))
    }

    private fun reportTargetState() {
        val state = target.state
        val reported = reportedTarget
        if (state == null || state == reported) return
        reportedTarget = state
        if (reported != null && (!state.present || state.target != reported.target)) creditIssuer.clearAll(connections.values)
        connections.keys.forEach { outbox.send(it, AgentFrame(target = state)) }
    }
}
