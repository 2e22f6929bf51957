package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.core.EntryId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.Credits
import io.bluebellramp.placement.EntryCreditState
import io.bluebellramp.placement.GrantPolicy

/**
 * Grants the free capacity of the agent to its entries as credits, and recalls credits. No I/O; confined to the coroutine of the core.
 *
 * Credits for tasks follow the demand, as [policy] decides. Credits for requests do not: each entry holds an even share of them.
 */
internal class CreditIssuer(
    private val policy: GrantPolicy,
    private val clock: Clock,
    private val options: AgentOptions,
) {
    /** Grants the free places of [taskQueue] and [requestQueue] to [connections] and recalls credits that other entries need more. */
    fun issue(
        connections: List<EntryConnection>,
        taskQueue: AttemptQueue,
        requestQueue: AttemptQueue,
        outbox: Outbox,
    ) {
        connections.forEach { expireRecalls(it) }
        val entries = connections.filter { it.isNewest && it.peer != null }
        if (entries.isEmpty()) return
        issueTaskCredits(entries, free = taskQueue.freePlaces - connections.sumOf { it.taskCredits.unspent }, outbox = outbox)
        issueRequestCredits(
            entries,
            requestQueue.limit,
            free = requestQueue.freePlaces - connections.sumOf { it.requestCredits.unspent },
            outbox = outbox,
        )
    }

    /** Recalls all credits. */
    fun recallAll(
        connections: List<EntryConnection>,
        outbox: Outbox,
    ) {
        for (connection in connections) {
            expireRecalls(connection)
            recall(connection, connection.taskCredits.unspent, connection.requestCredits.unspent, outbox)
        }
    }

    /** Discards all credits. Entries discard theirs as well when the target has gone. */
    fun clearAll(connections: Collection<EntryConnection>) {
        for (connection in connections) {
            connection.taskCredits.clear()
            connection.requestCredits.clear()
        }
    }

    private fun issueTaskCredits(
        entries: List<EntryConnection>,
        free: Int,
        outbox: Outbox,
    ) {
        val byEntry = entries.associateBy { entryOf(it) }
        val creditStates =
            byEntry.map { (entry, connection) ->
                EntryCreditState(
                    entry = entry,
                    unspent = connection.taskCredits.unspent,
                    demand = connection.demand,
                    recalled = connection.taskCredits.pendingRecall,
                )
            }
        val decision = policy.decide(free.coerceAtLeast(0), creditStates)
        decision.recalls.forEach { (entry, credits) -> byEntry[entry]?.let { recall(it, credits, 0, outbox) } }
        var remaining = free
        for ((entry, credits) in decision.grants) {
            val granted = minOf(credits, remaining)
            if (granted <= 0) continue
            remaining -= granted
            byEntry[entry]?.let { grant(it, granted, 0, outbox) }
        }
    }

    private fun issueRequestCredits(
        entries: List<EntryConnection>,
        limit: Int,
        free: Int,
        outbox: Outbox,
    ) {
        var remaining = free
        entries.sortedBy { entryOf(it).value }.forEachIndexed { index, connection ->
            val share = limit / entries.size + if (index < limit % entries.size) 1 else 0
            val held = connection.requestCredits.unspent + connection.openRequests
            if (held > share) recall(connection, 0, held - share - connection.requestCredits.pendingRecall, outbox)
            val granted = minOf(share - held, remaining)
            if (granted > 0) {
                remaining -= granted
                grant(connection, 0, granted, outbox)
            }
        }
    }

    private fun grant(
        connection: EntryConnection,
        slots: Int,
        connections: Int,
        outbox: Outbox,
    ) {
        connection.taskCredits.grant(slots)
        connection.requestCredits.grant(connections)
        outbox.send(connection.id, AgentFrame(credits = Credits(slots, connections)))
    }

    private fun recall(
        connection: EntryConnection,
        slots: Int,
        connections: Int,
        outbox: Outbox,
    ) {
        val now = clock.monotonic()
        val recalled = Credits(connection.taskCredits.recall(slots, now), connection.requestCredits.recall(connections, now))
        if (recalled.slots > 0 || recalled.connections > 0) outbox.send(connection.id, AgentFrame(recalled = recalled))
    }

    private fun expireRecalls(connection: EntryConnection) {
        val now = clock.monotonic()
        connection.taskCredits.expireRecall(now, options.recallTimeout)
        connection.requestCredits.expireRecall(now, options.recallTimeout)
    }

    private fun entryOf(connection: EntryConnection): EntryId = checkNotNull(connection.peer).entry
}
