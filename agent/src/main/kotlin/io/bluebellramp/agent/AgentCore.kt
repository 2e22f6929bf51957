package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.EntryHello
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.messages.TargetState
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.messages.TaskStatus
import io.bluebellramp.placement.DemandGrantPolicy
import io.bluebellramp.placement.GrantPolicy
import io.bluebellramp.placement.QueueDemand
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_TASK_TIME = 30.seconds

/**
 * Decides everything that an agent does. No I/O: [step] takes what happened and returns what to do.
 *
 * The permit, the ledger and the slots are checked in the same step as a start is decided, against the clock of that moment.
 * Confined to one coroutine.
 */
internal class AgentCore(
    private val hello: AgentHello,
    private val clock: Clock,
    private val options: AgentOptions = AgentOptions(),
    policy: GrantPolicy = DemandGrantPolicy(),
) {
    private val out = Outbox()
    private val permits = PermitHolder(clock, options)
    private val ledger = StartLedger(clock, options)
    private val target = TargetPresence(clock, options)
    private val issuer = CreditIssuer(policy, clock, options)
    private val connections = LinkedHashMap<ConnectionId, EntryConnection>()
    private val desk = OutcomeDesk(clock, options, connections, out)
    private val tasks = Lane(prefetch = options.prefetch)
    private val requests = Lane(prefetch = 0)
    private val lanes = listOf(tasks, requests)
    private val active = HashMap<TaskReference, Attempt>()
    private var toldTarget: TargetState? = null
    private var leaving = false

    /** Takes [input] and returns what to do now, in order. */
    fun step(input: AgentInput): List<AgentAction> {
        when (input) {
            is AgentInput.ConnectionOpened -> opened(input.connection)
            is AgentInput.ConnectionClosed -> closed(input.connection)
            is AgentInput.FrameReceived -> connections[input.connection]?.let { received(it, input.frame) }
            is AgentInput.TargetAnnounced -> announced(input.announcement)
            is AgentInput.TargetLeft -> target.left()
            is AgentInput.CallEnded -> ended(input)
            is AgentInput.Tick -> expire()
            is AgentInput.Leave -> leave()
        }
        settle()
        return out.drain()
    }

    /** The state at this moment. */
    fun view() =
        AgentView(
            tasksRunning = tasks.running,
            tasksQueued = tasks.queued,
            requestsRunning = requests.running,
            slots = permits.slots,
            permit = permits.state(),
            permitLeft = permits.left,
            revision = permits.revision,
            taskTime = permits.taskTime,
            entries = permits.entries,
            ledgerTasks = ledger.size,
            ledgerBytes = ledger.bytes,
            outcomesKept = desk.size,
            isDrained = leaving && active.isEmpty() && !desk.hasWaiting(),
        )

    private fun opened(id: ConnectionId) {
        connections[id] = EntryConnection(id)
        out.send(id, AgentFrame(hello = hello, target = target.state, leaving = leaving))
    }

    private fun closed(id: ConnectionId) {
        val connection = connections.remove(id) ?: return
        lanes.forEach { lane -> lane.remove { it.connection == id }.forEach { refuse(it, Refusal.CONNECTION_LOST) } }
        val heir = connections.values.lastOrNull { it.run != null && it.run?.entry == connection.run?.entry }
        heir?.isNewest = true
    }

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
        frame.cancels.forEach { cancel(connection, it) }
        frame.inquiries.forEach { inquire(connection, it) }
        frame.dispatches.forEach { dispatch(connection, it) }
        connection.demand = demand(connection, frame)
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
        lanes.forEach { lane -> lane.remove { true }.forEach { refuse(it, Refusal.NO_TARGET) } }
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

    private fun cancel(
        connection: EntryConnection,
        reference: TaskReference,
    ) {
        val attempt = active[reference]
        if (attempt != null && attempt.owner == connection.run && attempt.isRunning) return
        inquire(connection, reference)
    }

    private fun inquire(
        connection: EntryConnection,
        reference: TaskReference,
    ) {
        val attempt = active[reference]
        when {
            attempt == null -> {
                ledger.fence(reference)
                desk.answer(connection, reference, ledger.state(reference), Refusal.FENCED)
            }

            attempt.owner != connection.run -> {
                desk.answer(connection, reference, AttemptState.UNKNOWN, Refusal.FENCED)
            }

            attempt.isRunning -> {
                desk.send(connection, outcome(reference, TaskStatus.RUNNING))
            }

            else -> {
                lane(attempt.dispatch.kind).remove { it === attempt }
                refuse(attempt, Refusal.CANCELLED)
            }
        }
    }

    private fun dispatch(
        connection: EntryConnection,
        dispatch: Dispatch,
    ) {
        val account = if (dispatch.kind == DispatchKind.TASK) connection.slots else connection.connections
        val credited = account.spend()
        val reference = TaskReference(dispatch.submission, dispatch.task, dispatch.attempt)
        if (dispatch.incarnation != hello.incarnation) {
            decided(reference, Refusal.OTHER_INCARNATION)
            return desk.answer(connection, reference, AttemptState.UNKNOWN, Refusal.OTHER_INCARNATION)
        }
        val repeated = ledger.admit(reference, dispatch.idempotent)
        if (repeated != null) return refuseRepeated(connection, reference, repeated)
        val attempt =
            Attempt(
                dispatch = dispatch,
                owner = connection.run ?: EntryRun.NONE,
                connection = connection.id,
                deadline = clock.monotonic() + dispatch.remainingMillis.milliseconds,
            )
        val lane = lane(dispatch.kind)
        val refusal = gate() ?: Refusal.NO_CREDIT.takeUnless { credited } ?: Refusal.FULL.takeIf { lane.places <= 0 }
        if (refusal != null) return refuse(attempt, refusal)
        active[reference] = attempt
        if (dispatch.kind == DispatchKind.REQUEST) connection.openRequests++
        lane.add(attempt)
        startQueued(lane)
    }

    private fun refuseRepeated(
        connection: EntryConnection,
        reference: TaskReference,
        refusal: Refusal,
    ) {
        decided(reference, refusal)
        if (reference in active) return
        ledger.fence(reference)
        val outOfTime = refusal == Refusal.ID_OUT_OF_TIME
        val state = if (outOfTime) AttemptState.NOT_RUN else ledger.state(reference)
        desk.answer(connection, reference, state, refusal)
    }

    private fun startQueued(lane: Lane) {
        lane.limit = if (lane === tasks) permits.slots else permits.connections
        while (lane.canStart) {
            val attempt = lane.poll()
            val refusal = gate() ?: Refusal.DEADLINE.takeIf { clock.monotonic() >= attempt.deadline }
            if (refusal == null) start(lane, attempt) else refuse(attempt, refusal)
        }
    }

    private fun start(
        lane: Lane,
        attempt: Attempt,
    ) {
        val dispatch = attempt.dispatch
        val address = target.announcement?.address ?: return refuse(attempt, Refusal.NO_TARGET)
        lane.started(attempt)
        ledger.start(attempt.reference)
        decided(attempt.reference, refusal = null)
        out.add(
            AgentAction.Start(
                call = TargetCall(dispatch.submission, dispatch.task, dispatch.attempt, dispatch.kind, dispatch.payload),
                address = address,
                before = clock.monotonic() + permits.left,
                timeout = permits.taskTime ?: DEFAULT_TASK_TIME,
            ),
        )
    }

    private fun ended(input: AgentInput.CallEnded) {
        val attempt = active[input.reference]
        if (attempt == null || !attempt.isRunning) return out.dropped(1, DropReason.LATE)
        lane(attempt.dispatch.kind).ended()
        val micros = input.ran.inWholeMicroseconds
        when (val result = input.result) {
            is CallResult.Done -> {
                deliver(attempt, TaskStatus.DONE, result = result.text, micros = micros)
            }

            is CallResult.Failed -> {
                deliver(attempt, TaskStatus.ERROR, reason = result.reason, micros = micros)
            }

            is CallResult.Unknown -> {
                deliver(attempt, TaskStatus.UNKNOWN, reason = result.reason, micros = micros)
            }

            is CallResult.NotSent -> {
                ledger.revoke(attempt.reference)
                refuse(attempt, Refusal.TARGET_REFUSED)
            }
        }
    }

    private fun deliver(
        attempt: Attempt,
        status: TaskStatus,
        result: String? = null,
        reason: String? = null,
        micros: Long,
    ) {
        forget(attempt)
        desk.deliver(attempt, outcome(attempt.reference, status).copy(result = result, reason = reason, ranMicros = micros))
    }

    private fun refuse(
        attempt: Attempt,
        refusal: Refusal,
    ) {
        forget(attempt)
        ledger.fence(attempt.reference)
        decided(attempt.reference, refusal)
        val connection = desk.connectionOf(attempt.owner) ?: connections[attempt.connection] ?: return
        desk.send(connection, outcome(attempt.reference, TaskStatus.NOT_RUN).copy(reason = refusal.wording))
    }

    private fun forget(attempt: Attempt) {
        if (active.remove(attempt.reference) == null) return
        if (attempt.dispatch.kind == DispatchKind.REQUEST) connections[attempt.connection]?.let { it.openRequests-- }
    }

    private fun decided(
        reference: TaskReference,
        refusal: Refusal?,
    ) = out.add(AgentAction.Decided(reference, refusal, target.announcement?.target, permits.revision))

    private fun leave() {
        leaving = true
        connections.keys.forEach { out.send(it, AgentFrame(leaving = true)) }
    }

    private fun expire() {
        ledger.expire()
        desk.expire()
    }

    private fun settle() {
        tellTarget()
        lanes.forEach(::startQueued)
        val closed = gate()
        val all = connections.values.toList()
        if (closed == null) {
            issuer.issue(all, tasks, requests, out)
        } else {
            lanes.forEach { lane -> lane.remove { true }.forEach { refuse(it, closed) } }
            issuer.recallAll(all, out)
        }
        val request = permits.request(all.filter { it.run != null }.map { it.id }) ?: return
        out.send(request.connection, AgentFrame(permitRequest = request.request))
    }

    private fun tellTarget() {
        val state = target.state
        if (state == toldTarget) return
        toldTarget = state
        connections.keys.forEach { out.send(it, AgentFrame(target = state)) }
    }

    /** Reads the clock and returns why nothing may start at this moment, or null. */
    private fun gate(): Refusal? =
        when {
            leaving -> {
                Refusal.LEAVING
            }

            !target.isPresent -> {
                Refusal.NO_TARGET
            }

            else -> {
                when (permits.state()) {
                    PermitState.LIVE -> null
                    PermitState.DEAD -> Refusal.NO_PERMIT
                    PermitState.OUT_OF_SERVICE -> Refusal.OUT_OF_SERVICE
                }
            }
        }

    private fun lane(kind: DispatchKind) = if (kind == DispatchKind.TASK) tasks else requests

    private fun outcome(
        reference: TaskReference,
        status: TaskStatus,
    ) = TaskOutcome(reference.submission, reference.task, reference.attempt, status)
}
