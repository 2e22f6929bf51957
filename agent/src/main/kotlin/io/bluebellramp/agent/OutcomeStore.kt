package io.bluebellramp.agent

import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** An outcome that its entry has not received yet. */
internal class StoredOutcome(
    val outcome: TaskOutcome,
    val owner: EntryRun,
    val at: Duration,
) {
    /** The connection on which it was sent last, or null. */
    var sentOn: ConnectionId? = null

    /** Memory that it is counted with (bytes). */
    val bytes: Long get() = BASE_BYTES + (outcome.result?.length ?: 0) + (outcome.reason?.length ?: 0)

    private companion object {
        const val BASE_BYTES = 200L
    }
}

/** Keeps the outcomes of attempts that started until their entry has received them. No I/O; confined to the coroutine of the core. */
internal class OutcomeStore(
    private val options: AgentOptions,
) {
    private val outcomes = LinkedHashMap<TaskReference, StoredOutcome>()

    /** Memory of all outcomes, estimated (bytes). */
    var bytes = 0L
        private set

    /** Outcomes that are kept. */
    val size: Int get() = outcomes.size

    /** Keeps [stored] and returns the older ones that had to go for it. */
    fun add(
        reference: TaskReference,
        stored: StoredOutcome,
    ): Int {
        outcomes[reference] = stored
        bytes += stored.bytes
        var dropped = 0
        while (bytes > options.outcomeBytes && outcomes.size > 1) {
            remove(outcomes.keys.first())
            dropped++
        }
        return dropped
    }

    /** Returns the outcome of an attempt, or null. */
    fun get(reference: TaskReference): StoredOutcome? = outcomes[reference]

    /** Forgets the outcome of an attempt. */
    fun remove(reference: TaskReference) {
        val stored = outcomes.remove(reference) ?: return
        bytes -= stored.bytes
    }

    /** Forgets the outcomes of earlier runs of the entry of [run] and tells how many. */
    fun dropOtherRuns(run: EntryRun): Int = removeAll { it.owner.entry == run.entry && it.owner.incarnation != run.incarnation }

    /** Forgets the outcomes that have waited too long and tells how many. */
    fun expire(now: Duration): Int = removeAll { now - it.at >= options.outcomeLife }

    /** Whether an outcome for one of [runs] is kept. */
    fun waitsFor(runs: Set<EntryRun>): Boolean = outcomes.values.any { it.owner in runs }

    private fun removeAll(condition: (StoredOutcome) -> Boolean): Int {
        val found = outcomes.filterValues(condition).keys
        found.forEach(::remove)
        return found.size
    }
}
