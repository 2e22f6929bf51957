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
import io.bluebellramp.placement.Placement
import io.bluebellramp.placement.QueueDemand

/**
 * Decides everything that an agent does. No I/O: [step] takes what happened and returns what to do.
 *
 * Confined to one coroutine. It reads the clock again at each start, so that a process which was frozen starts nothing stale.
 */
internal class AgentCore(
    private val hello: AgentHello,
    clock: Clock,
    options: AgentOptions = AgentOptions(),
    policy: GrantPolicy = Placement.grants(),
) {
    private val out = Outbox()
    private val connections = LinkedHashMap<ConnectionId, EntryConnection>()
    private val permits = PermitHolder(clock, options)
    private val target = TargetPresence(clock, options)
    private val gate = StartGate(permits, target)
    private val desk = OutcomeDesk(clock, options, connections, out)
    private val issuer = CreditIssuer(policy, clock, options)
    private val starter = Starter(hello.incarnation, clock, options, permits, target, gate, desk, connections, out)
    private var toldTarget: TargetState? = null

    /** Takes [input] and returns what to do now, in order. */
    fun step(input: AgentInput): List<AgentAction> {
        when (input) {
            is AgentInput.ConnectionOpened -> opened(input.connection)
            is AgentInput.ConnectionClosed -> closed(input.connection)
            is AgentInput.FrameReceived -> connections[input.connection]?.let { received(it, input.frame) }
            is AgentInput.TargetAnnounced -> announced(input.announcement)
            is AgentInput.TargetLeft -> target.left()
            is AgentInput.CallEnded -> starter.ended(input)
            is AgentInput.Tick -> expire()
            is AgentInput.Leave -> leave()
        }
        settle()
        return out.drain()
    }

    /** The state at this moment. */
    fun view() =
        AgentView(
            tasksRunning = starter.tasks.running,
            tasksQueued = starter.tasks.queued,
            requestsRunning = starter.requests.running,
            slots = permits.slots,
            permit = permits.state(),
            permitLeft = permits.left,
            revision = permits.revision,
            taskTime = permits.taskTime,
            entries = permits.entries,
            ledgerTasks = starter.ledger.size,
            ledgerBytes = starter.ledger.bytes,
            outcomesKept = desk.size,
            isDrained = gate.isLeaving && starter.isIdle && !desk.hasWaiting(),
        )

    private fun opened(id: ConnectionId) {
        connections[id] = EntryConnection(id)
        out.send(id, AgentFrame(hello = hello, target = target.state, leaving = gate.isLeaving))
    }

    private fun closed(id: ConnectionId) {
        val connection = connections.remove(id) ?: return
        starter.refuseQueued(Refusal.CONNECTION_LOST, id)
        val run = connection.run ?: return
        connections.values.lastOrNull { it.run?.entry == run.entry }?.isNewest = true
    }

    /** The parts are taken in an order in which none depends on a later one. */
    private fun received(
        connection: EntryConnection,
        frame: EntryFrame,
    ) {
        frame.hello?.let { greeted(connection, it) }
        frame.permit?.let { permits.accept(connection.id, it) }
        frame.received?.let { desk.received(connection, it) }
        frame.returned?.let {
            connection.slots.returned(it.slots)
            connection.connections.returned(it.connections)
        }
        starter.useLimits()
        frame.cancels.forEach { starter.cancel(connection, it) }
        frame.inquiries.forEach { starter.inquire(connection, it) }
        frame.dispatches.forEach { starter.dispatch(connection, it) }
        connection.demand = demand(connection, frame)
    }

    private fun greeted(
        connection: EntryConnection,
        hello: EntryHello,
    ) {
        val run = EntryRun(hello.entry, hello.incarnation)
        connection.run = run
        connections.values.filter { it.run?.entry == run.entry }.forEach { it.isNewest = it === connection }
        desk.greeted(run)
    }

    private fun demand(
        connection: EntryConnection,
        frame: EntryFrame,
    ): QueueDemand {
        val demand = frame.demand
        if (demand != null) return QueueDemand(demand.tasks, demand.tasksLeft)
        val dispatched = frame.dispatches.count { it.kind == DispatchKind.TASK }
        return connection.demand.copy(tasks = (connection.demand.tasks - dispatched).coerceAtLeast(0))
    }

    private fun announced(announcement: TargetAnnouncement) {
        val earlier = target.announcement
        target.announced(announcement)
        if (earlier == null || (earlier.target == announcement.target && earlier.service == announcement.service)) return
        starter.refuseQueued(Refusal.NO_TARGET)
    }

    private fun leave() {
        gate.isLeaving = true
        connections.keys.forEach { out.send(it, AgentFrame(leaving = true)) }
    }

    private fun expire() {
        starter.ledger.expire()
        desk.expire()
    }

    private fun settle() {
        tellTarget()
        starter.startQueued()
        val all = connections.values.toList()
        val closed = gate.refusal()
        if (closed == null) {
            issuer.issue(all, starter.tasks, starter.requests, out)
        } else {
            starter.refuseQueued(closed)
            issuer.recallAll(all, out)
        }
        val request = permits.request(all.filter { it.run != null }.map { it.id }) ?: return
        out.send(request.connection, AgentFrame(permitRequest = request.request))
    }

    private fun tellTarget() {
        val state = target.state
        val told = toldTarget
        if (state == null || state == told) return
        toldTarget = state
        if (told != null && (!state.present || state.target != told.target)) issuer.forgetAll(connections.values)
        connections.keys.forEach { out.send(it, AgentFrame(target = state)) }
    }
}
