package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.messages.TaskStatus
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val DEFAULT_TASK_TIME = 30.seconds

/**
 * Accepts, starts, refuses and ends attempts. No I/O; confined to the coroutine of the core.
 *
 * The gate, the ledger and the slots are checked in the same step as a start is decided, against the clock of that moment.
 */
internal class Starter(
    private val incarnation: IncarnationId,
    private val clock: Clock,
    options: AgentOptions,
    private val permits: PermitHolder,
    private val target: TargetPresence,
    private val gate: StartGate,
    private val desk: OutcomeDesk,
    private val connections: Map<ConnectionId, EntryConnection>,
    private val out: Outbox,
) {
    private val active = HashMap<TaskReference, Attempt>()

    /** Remembers what was accepted. */
    val ledger = StartLedger(clock, options)

    /** Tasks that run or wait. */
    val tasks = Lane(prefetch = options.prefetch)

    /** Requests that run or wait. */
    val requests = Lane(prefetch = 0)

    private val lanes = listOf(tasks, requests)

    /** Whether nothing waits or runs. */
    val isIdle: Boolean get() = active.isEmpty()

    /** Starts or queues the attempt of [dispatch], or refuses it. */
    fun dispatch(
        connection: EntryConnection,
        dispatch: Dispatch,
    ) {
        val account = if (dispatch.kind == DispatchKind.TASK) connection.slots else connection.connections
        val isCredited = account.spend()
        val reference = TaskReference(dispatch.submission, dispatch.task, dispatch.attempt)
        if (dispatch.incarnation != incarnation) {
            decided(reference, Refusal.OTHER_INCARNATION)
            return desk.answer(connection, reference, AttemptState.UNKNOWN, Refusal.OTHER_INCARNATION)
        }
        val repeated = ledger.admit(reference, dispatch.idempotent)
        if (repeated != null) return refuseRepeated(connection, reference, repeated)
        accept(connection, dispatch, isCredited)
    }

    /** Makes sure that an attempt which waits never starts. One that runs goes on. */
    fun cancel(
        connection: EntryConnection,
        reference: TaskReference,
    ) {
        val attempt = active[reference]
        if (attempt != null && attempt.owner == connection.run && attempt.isRunning) return
        inquire(connection, reference)
    }

    /** Tells what became of an attempt. One that does not run never will. */
    fun inquire(
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

    /** Takes the limits of the permit. */
    fun useLimits() {
        tasks.limit = permits.slots
        requests.limit = permits.connections
    }

    /** Starts what waits as far as the limits go. */
    fun startQueued() = lanes.forEach(::startQueued)

    /** Refuses what waits, only that of [connection] if it is not null. */
    fun refuseQueued(
        refusal: Refusal,
        connection: ConnectionId? = null,
    ) {
        val refused = lanes.flatMap { lane -> lane.remove { connection == null || it.connection == connection } }
        refused.forEach { refuse(it, refusal) }
    }

    /** Takes the end of a call to the target. */
    fun ended(input: AgentInput.CallEnded) {
        val attempt = active[input.reference]
        if (attempt == null || !attempt.isRunning) return out.dropped(1, DropReason.LATE)
        lane(attempt.dispatch.kind).ended()
        if (input.result is CallResult.NotSent) {
            ledger.revoke(attempt.reference)
            return refuse(attempt, Refusal.TARGET_REFUSED)
        }
        forget(attempt)
        desk.deliver(attempt, outcome(attempt.reference, input.result).copy(ranMicros = input.ran.inWholeMicroseconds))
    }

    private fun accept(
        connection: EntryConnection,
        dispatch: Dispatch,
        isCredited: Boolean,
    ) {
        val attempt =
            Attempt(
                dispatch = dispatch,
                owner = connection.run ?: EntryRun.NONE,
                connection = connection.id,
                deadline = clock.monotonic() + dispatch.remainingMillis.milliseconds,
            )
        val lane = lane(dispatch.kind)
        val refusal = gate.refusal() ?: Refusal.NO_CREDIT.takeUnless { isCredited } ?: Refusal.FULL.takeIf { lane.places <= 0 }
        if (refusal != null) return refuse(attempt, refusal)
        active[attempt.reference] = attempt
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
        val open = active[reference]
        if (open != null && open.owner == connection.run) return
        if (open != null) return desk.answer(connection, reference, AttemptState.UNKNOWN, refusal)
        ledger.fence(reference)
        val state = if (refusal == Refusal.ID_OUT_OF_TIME) AttemptState.NOT_RUN else ledger.state(reference)
        desk.answer(connection, reference, state, refusal)
    }

    private fun startQueued(lane: Lane) {
        while (lane.canStart) {
            val attempt = lane.poll()
            val refusal = gate.refusal() ?: Refusal.DEADLINE.takeIf { clock.monotonic() >= attempt.deadline }
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
                before = permits.heldUntil,
                timeout = permits.taskTime ?: DEFAULT_TASK_TIME,
            ),
        )
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

    private fun lane(kind: DispatchKind) = if (kind == DispatchKind.TASK) tasks else requests

    private fun outcome(
        reference: TaskReference,
        result: CallResult,
    ): TaskOutcome =
        when (result) {
            is CallResult.Done -> outcome(reference, TaskStatus.DONE).copy(result = result.text)
            is CallResult.Failed -> outcome(reference, TaskStatus.ERROR).copy(reason = result.reason)
            is CallResult.Unknown -> outcome(reference, TaskStatus.UNKNOWN).copy(reason = result.reason)
            is CallResult.NotSent -> outcome(reference, TaskStatus.NOT_RUN).copy(reason = result.reason)
        }

    private fun outcome(
        reference: TaskReference,
        status: TaskStatus,
    ) = TaskOutcome(reference.submission, reference.task, reference.attempt, status)
}
