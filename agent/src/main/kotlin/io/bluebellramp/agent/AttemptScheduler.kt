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

private val DEFAULT_TASK_TIMEOUT = 30.seconds

/**
 * Queues, starts or refuses attempts and handles their end. No I/O; confined to the coroutine of the core.
 *
 * The permit, the target, the ledger and the limits are checked in the step that starts an attempt, against the time at that moment.
 */
internal class AttemptScheduler(
    private val incarnation: IncarnationId,
    private val clock: Clock,
    options: AgentOptions,
    private val permits: PermitHolder,
    private val target: TargetPresence,
    private val startGate: StartGate,
    private val outcomeDelivery: OutcomeDelivery,
    private val connections: Map<ConnectionId, EntryConnection>,
    private val outbox: Outbox,
) {
    private val attempts = HashMap<TaskReference, Attempt>()

    /** Records the accepted attempts. */
    val ledger = StartLedger(clock, options)

    /** Tasks that are running or waiting. */
    val taskQueue = AttemptQueue(prefetch = options.prefetch)

    /** Requests that are running or waiting. */
    val requestQueue = AttemptQueue(prefetch = 0)

    private val queues = listOf(taskQueue, requestQueue)

    /** Whether no attempt is running or waiting. */
    val isIdle: Boolean get() = attempts.isEmpty()

    /** Starts or queues the attempt of [dispatch], or refuses it. */
    fun dispatch(
        connection: EntryConnection,
        dispatch: Dispatch,
    ) {
        val credits = if (dispatch.kind == DispatchKind.TASK) connection.taskCredits else connection.requestCredits
        val hasCredit = credits.spend()
        val reference = TaskReference(dispatch.submission, dispatch.task, dispatch.attempt)
        if (dispatch.incarnation != incarnation) {
            recordDecision(reference, Refusal.OTHER_INCARNATION)
            return outcomeDelivery.answer(connection, reference, AttemptState.UNKNOWN, Refusal.OTHER_INCARNATION)
        }
        val refusal = ledger.admit(reference, dispatch.idempotent)
        if (refusal != null) return refuseNotAdmitted(connection, reference, refusal)
        accept(connection, dispatch, hasCredit)
    }

    /** Prevents an attempt from starting. A running attempt continues. */
    fun cancel(
        connection: EntryConnection,
        reference: TaskReference,
    ) {
        val attempt = attempts[reference]
        if (attempt != null && attempt.owner == connection.peer && attempt.isRunning) return
        inquire(connection, reference)
    }

    /** Reports the state of an attempt to the entry. If it is not running, it is also prevented from starting. */
    fun inquire(
        connection: EntryConnection,
        reference: TaskReference,
    ) {
        val attempt = attempts[reference]
        when {
            attempt == null -> {
                ledger.fence(reference)
                outcomeDelivery.answer(connection, reference, ledger.state(reference), Refusal.FENCED)
            }

            attempt.owner != connection.peer -> {
                outcomeDelivery.answer(connection, reference, AttemptState.UNKNOWN, Refusal.FENCED)
            }

            attempt.isRunning -> {
                outcomeDelivery.send(connection, outcome(reference, TaskStatus.RUNNING))
            }

            else -> {
                queueFor(attempt.dispatch.kind).remove { it === attempt }
                refuse(attempt, Refusal.CANCELLED)
            }
        }
    }

    /** Applies the limits of the permit. */
    fun applyPermitLimits() {
        taskQueue.limit = permits.slots
        requestQueue.limit = permits.connections
    }

    /** Starts the waiting attempts that the limits allow. */
    fun startQueued() = queues.forEach(::startQueued)

    /** Refuses the waiting attempts; only those of [connection] if it is not null. */
    fun refuseQueued(
        refusal: Refusal,
        connection: ConnectionId? = null,
    ) {
        val refused = queues.flatMap { queue -> queue.remove { connection == null || it.connection == connection } }
        refused.forEach { refuse(it, refusal) }
    }

    /** Handles the end of a call to the target. */
    fun onCallEnded(input: AgentInput.CallEnded) {
        val attempt = attempts[input.reference]
        if (attempt == null || !attempt.isRunning) return outbox.addDropped(1, DropReason.LATE)
        queueFor(attempt.dispatch.kind).markEnded()
        if (input.result is CallResult.NotSent) {
            ledger.revoke(attempt.reference)
            return refuse(attempt, Refusal.TARGET_REFUSED)
        }
        removeAttempt(attempt)
        outcomeDelivery.deliver(attempt, outcome(attempt.reference, input.result).copy(ranMicros = input.duration.inWholeMicroseconds))
    }

    private fun accept(
        connection: EntryConnection,
        dispatch: Dispatch,
        hasCredit: Boolean,
    ) {
        val attempt =
            Attempt(
                dispatch = dispatch,
                owner = connection.peer ?: EntryIncarnation.NONE,
                connection = connection.id,
                deadline = clock.monotonic() + dispatch.remainingMillis.milliseconds,
            )
        val queue = queueFor(dispatch.kind)
        val refusal = startGate.refusal() ?: Refusal.NO_CREDIT.takeUnless { hasCredit } ?: Refusal.FULL.takeIf { queue.freePlaces <= 0 }
        if (refusal != null) return refuse(attempt, refusal)
        attempts[attempt.reference] = attempt
        if (dispatch.kind == DispatchKind.REQUEST) connection.openRequests++
        queue.add(attempt)
        startQueued(queue)
    }

    private fun refuseNotAdmitted(
        connection: EntryConnection,
        reference: TaskReference,
        refusal: Refusal,
    ) {
        recordDecision(reference, refusal)
        val existing = attempts[reference]
        if (existing != null && existing.owner == connection.peer) return
        if (existing != null) return outcomeDelivery.answer(connection, reference, AttemptState.UNKNOWN, refusal)
        ledger.fence(reference)
        val state = if (refusal == Refusal.ID_OUT_OF_TIME) AttemptState.NOT_RUN else ledger.state(reference)
        outcomeDelivery.answer(connection, reference, state, refusal)
    }

    private fun startQueued(queue: AttemptQueue) {
        while (queue.canStart) {
            val attempt = queue.poll()
            val refusal = startGate.refusal() ?: Refusal.DEADLINE.takeIf { clock.monotonic() >= attempt.deadline }
            if (refusal == null) start(queue, attempt) else refuse(attempt, refusal)
        }
    }

    private fun start(
        queue: AttemptQueue,
        attempt: Attempt,
    ) {
        val dispatch = attempt.dispatch
        val address = target.announcement?.address ?: return refuse(attempt, Refusal.NO_TARGET)
        queue.markStarted(attempt)
        ledger.start(attempt.reference)
        recordDecision(attempt.reference, refusal = null)
        outbox.add(
            AgentAction.CallTarget(
                call = TargetCall(dispatch.submission, dispatch.task, dispatch.attempt, dispatch.kind, dispatch.payload),
                address = address,
                sendDeadline = permits.validUntil,
                timeout = permits.taskTimeout ?: DEFAULT_TASK_TIMEOUT,
            ),
        )
    }

    private fun refuse(
        attempt: Attempt,
        refusal: Refusal,
    ) {
        removeAttempt(attempt)
        ledger.fence(attempt.reference)
        recordDecision(attempt.reference, refusal)
        val connection = outcomeDelivery.connectionOf(attempt.owner) ?: connections[attempt.connection] ?: return
        outcomeDelivery.send(connection, outcome(attempt.reference, TaskStatus.NOT_RUN).copy(reason = refusal.reason))
    }

    private fun removeAttempt(attempt: Attempt) {
        if (attempts.remove(attempt.reference) == null) return
        if (attempt.dispatch.kind == DispatchKind.REQUEST) connections[attempt.connection]?.let { it.openRequests-- }
    }

    private fun recordDecision(
        reference: TaskReference,
        refusal: Refusal?,
    ) = outbox.add(AgentAction.RecordDecision(reference, refusal, target.announcement?.target, permits.revision))

    private fun queueFor(kind: DispatchKind) = if (kind == DispatchKind.TASK) taskQueue else requestQueue

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
