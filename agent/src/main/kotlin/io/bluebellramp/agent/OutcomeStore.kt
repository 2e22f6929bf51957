package io.bluebellramp.agent

import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** An outcome that its entry has not received yet. */
internal class StoredOutcome(
    val outcome: TaskOutcome,
    val owner: EntryIncarnation,
    val storedAt: Duration,
) {
    /** The connection on which it was last sent, or null. */
    var sentOn: ConnectionId? = null

    /** Estimated memory (bytes). */
    val bytes: Long get() = OVERHEAD_BYTES + (outcome.result?.length ?: 0) + (outcome.reason?.length ?: 0)

    private companion object {
        const val OVERHEAD_BYTES = 200L
    }
}

/** Keeps the outcomes of attempts that started until their entry has received them. No I/O; confined to the coroutine of the core. */
internal class OutcomeStore(
    private val options: AgentOptions,
) {
    private val outcomes = LinkedHashMap<TaskReference, StoredOutcome>()

    /** Estimated memory of all outcomes (bytes). */
    var bytes = 0L
        private set

    /** Number of outcomes that are kept. */
    val size: Int get() = outcomes.size

    /** Keeps [stored] and returns how many of the oldest outcomes were removed to stay within [AgentOptions.maxOutcomeBytes]. */
    fun add(
        reference: TaskReference,
        stored: StoredOutcome,
    ): Int {
        outcomes[reference] = stored
        bytes += stored.bytes
        var dropped = 0
        while (bytes > options.maxOutcomeBytes && outcomes.size > 1) {
            remove(outcomes.keys.first())
            dropped++
        }
        return dropped
    }

    /** Returns the outcome of an attempt, or null. */
    fun get(reference: TaskReference): StoredOutcome? = outcomes[reference]

    /** Removes the outcome of an attempt. */
    fun remove(reference: TaskReference) {
        val stored = outcomes.remove(reference) ?: return
        bytes -= stored.bytes
    }

    /** Removes the outcomes of other incarnations of the entry of [peer] and returns how many. */
    fun removeOtherIncarnations(peer: EntryIncarnation): Int =
        removeAll { it.owner.entry == peer.entry && it.owner.incarnation != peer.incarnation }

    /** Removes the outcomes that have waited for [AgentOptions.outcomeTtl] and returns how many. */
    fun expire(now: Duration): Int = removeAll { now - it.storedAt >= options.outcomeTtl }

    /** Whether an outcome for one of [owners] is kept. */
    fun hasOutcomeFor(owners: Set<EntryIncarnation>): Boolean = outcomes.values.any { it.owner in owners }

    private fun removeAll(condition: (StoredOutcome) -> Boolean): Int {
        val matching = outcomes.filterValues(condition).keys
        matching.forEach(::remove)
        return matching.size
    }
}
