package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.messages.TaskStatus

/**
 * Sends outcomes to the entry that dispatched the attempt and keeps them until it has received them.
 *
 * An outcome goes to the newest connection of the same run of the entry. Without one it waits for an inquiry; the outcome of an
 * earlier run of an entry is dropped. No I/O; confined to the coroutine of the core.
 */
internal class OutcomeDesk(
    private val clock: Clock,
    private val options: AgentOptions,
    private val connections: Map<ConnectionId, EntryConnection>,
    private val out: Outbox,
) {
    private val store = OutcomeStore(options)

    /** Outcomes that are kept. */
    val size: Int get() = store.size

    /** Whether an entry that is connected has yet to receive an outcome. */
    fun hasWaiting(): Boolean = store.waitsFor(connections.values.mapNotNull { it.run }.toSet())

    /** Returns the newest connection of the run of an entry, or null. */
    fun connectionOf(run: EntryRun): EntryConnection? = connections.values.lastOrNull { it.run == run }

    /** Keeps the outcome of an attempt that started and sends it if its entry is connected. */
    fun deliver(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val connection = connectionOf(attempt.owner)
        if (connection == null && connections.values.any { it.run?.entry == attempt.owner.entry }) {
            return out.dropped(1, DropReason.OTHER_ENTRY_INCARNATION)
        }
        val stored = StoredOutcome(outcome = outcome, owner = attempt.owner, at = clock.monotonic())
        out.dropped(store.add(attempt.reference, stored), DropReason.TOO_LARGE)
        if (connection != null) send(connection, stored)
    }

    /** Answers an inquiry about an attempt that neither waits nor runs. */
    fun answer(
        connection: EntryConnection,
        reference: TaskReference,
        state: AttemptState,
        refusal: Refusal,
    ) {
        val stored = store.get(reference)
        if (stored != null && stored.owner == connection.run) {
            if (stored.sentOn != connection.id) send(connection, stored)
            return
        }
        val status = if (state == AttemptState.NOT_RUN) TaskStatus.NOT_RUN else TaskStatus.UNKNOWN
        send(connection, TaskOutcome(reference.submission, reference.task, reference.attempt, status, reason = refusal.wording))
    }

    /** Sends an outcome that need not be kept. */
    fun send(
        connection: EntryConnection,
        outcome: TaskOutcome,
    ) {
        connection.sent(TaskReference(outcome.submission, outcome.task, outcome.attempt), isFinal = outcome.status != TaskStatus.RUNNING)
        out.send(connection.id, AgentFrame(outcomes = listOf(outcome)))
    }

    /** Forgets what the entry has received. */
    fun received(
        connection: EntryConnection,
        count: Long,
    ) = connection.received(count).forEach { reference ->
        val stored = store.get(reference)
        if (stored != null && stored.owner == connection.run) store.remove(reference)
    }

    /** Drops what earlier runs of the entry have left. */
    fun greeted(run: EntryRun) = out.dropped(store.dropOtherRuns(run), DropReason.OTHER_ENTRY_INCARNATION)

    /** Drops what has waited too long. */
    fun expire() = out.dropped(store.expire(clock.monotonic()), DropReason.EXPIRED)

    private fun send(
        connection: EntryConnection,
        stored: StoredOutcome,
    ) {
        stored.sentOn = connection.id
        send(connection, stored.outcome)
    }
}
