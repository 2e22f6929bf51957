package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.messages.TaskStatus

/**
 * Sends outcomes to the entry that dispatched the attempt and keeps them until it has received them.
 *
 * An outcome goes to the newest connection of the entry incarnation that owns the attempt. Without one it waits for an inquiry;
 * outcomes of earlier incarnations of an entry are dropped. No I/O; confined to the coroutine of the core.
 */
internal class OutcomeDelivery(
    private val clock: Clock,
    private val options: AgentOptions,
    private val connections: Map<ConnectionId, EntryConnection>,
    private val outbox: Outbox,
) {
    private val store = OutcomeStore(options)

    /** Number of outcomes that are kept. */
    val size: Int get() = store.size

    /** Whether a connected entry has yet to receive an outcome. */
    fun hasPending(): Boolean = store.hasOutcomeFor(connections.values.mapNotNull { it.peer }.toSet())

    /** Returns the newest connection of the entry incarnation, or null. */
    fun connectionOf(peer: EntryIncarnation): EntryConnection? = connections.values.lastOrNull { it.peer == peer }

    /** Keeps the outcome of an attempt that started and sends it if its entry is connected. */
    fun deliver(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val connection = connectionOf(attempt.owner)
        if (connection == null && connections.values.any { it.peer?.entry == attempt.owner.entry }) {
            return outbox.addDropped(1, DropReason.OTHER_ENTRY_INCARNATION)
        }
        val stored = StoredOutcome(outcome = outcome, owner = attempt.owner, storedAt = clock.monotonic())
        outbox.addDropped(store.add(attempt.reference, stored), DropReason.TOO_LARGE)
        if (connection != null) send(connection, stored)
    }

    /** Reports the state of an attempt that is neither waiting nor running, or its outcome if that is kept. */
    fun answer(
        connection: EntryConnection,
        reference: TaskReference,
        state: AttemptState,
        refusal: Refusal,
    ) {
        val stored = store.get(reference)
        if (stored != null && stored.owner == connection.peer) {
            if (stored.sentOn != connection.id) send(connection, stored)
            return
        }
        val status = if (state == AttemptState.NOT_RUN) TaskStatus.NOT_RUN else TaskStatus.UNKNOWN
        send(connection, TaskOutcome(reference.submission, reference.task, reference.attempt, status, reason = refusal.reason))
    }

    /** Sends an outcome without keeping it. */
    fun send(
        connection: EntryConnection,
        outcome: TaskOutcome,
    ) {
        connection.recordSent(
            TaskReference(outcome.submission, outcome.task, outcome.attempt),
            isFinal = outcome.status != TaskStatus.RUNNING,
        )
        outbox.send(connection.id, AgentFrame(outcomes = listOf(outcome)))
    }

    /** Removes the outcomes among the first [count] that the entry has received on [connection]. */
    fun acknowledge(
        connection: EntryConnection,
        count: Long,
    ) = connection.acknowledge(count).forEach { reference ->
        val stored = store.get(reference)
        if (stored != null && stored.owner == connection.peer) store.remove(reference)
    }

    /** Drops the outcomes of earlier incarnations of the entry. */
    fun onHello(peer: EntryIncarnation) = outbox.addDropped(store.removeOtherIncarnations(peer), DropReason.OTHER_ENTRY_INCARNATION)

    /** Drops the outcomes that have waited longer than [AgentOptions.outcomeTtl]. */
    fun expire() = outbox.addDropped(store.expire(clock.monotonic()), DropReason.EXPIRED)

    private fun send(
        connection: EntryConnection,
        stored: StoredOutcome,
    ) {
        stored.sentOn = connection.id
        send(connection, stored.outcome)
    }
}
