package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.core.EntryId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.Credits
import io.bluebellramp.placement.EntryStanding
import io.bluebellramp.placement.GrantPolicy

/**
 * Grants the free places of the agent to its entries and recalls them. No I/O; confined to the coroutine of the core.
 *
 * Credits for tasks follow the demand, as [policy] decides. Credits for requests stand: each entry holds an even share.
 */
internal class CreditIssuer(
    private val policy: GrantPolicy,
    private val clock: Clock,
    private val options: AgentOptions,
) {
    /** Grants what is free in [tasks] and [requests] to [connections] and recalls what others need more. */
    fun issue(
        connections: List<EntryConnection>,
        tasks: Lane,
        requests: Lane,
        out: Outbox,
    ) {
        connections.forEach { writeOff(it) }
        val entries = connections.filter { it.isNewest && it.run != null }
        if (entries.isEmpty()) return
        issueSlots(entries, free = tasks.places - connections.sumOf { it.slots.unspent }, out = out)
        issueConnections(entries, requests.limit, free = requests.places - connections.sumOf { it.connections.unspent }, out = out)
    }

    /** Asks all credits back. */
    fun recallAll(
        connections: List<EntryConnection>,
        out: Outbox,
    ) {
        for (connection in connections) {
            writeOff(connection)
            recall(connection, connection.slots.unspent, connection.connections.unspent, out)
        }
    }

    /** Takes all credits as lost. Entries drop those of a target that has gone. */
    fun forgetAll(connections: Collection<EntryConnection>) {
        for (connection in connections) {
            connection.slots.forget()
            connection.connections.forget()
        }
    }

    private fun issueSlots(
        entries: List<EntryConnection>,
        free: Int,
        out: Outbox,
    ) {
        val byEntry = entries.associateBy { entry(it) }
        val standings =
            byEntry.map { (entry, connection) ->
                EntryStanding(
                    entry = entry,
                    unspent = connection.slots.unspent,
                    demand = connection.demand,
                    recalled = connection.slots.recalling,
                )
            }
        val decision = policy.decide(free.coerceAtLeast(0), standings)
        decision.recalls.forEach { (entry, credits) -> byEntry[entry]?.let { recall(it, credits, 0, out) } }
        var left = free
        for ((entry, credits) in decision.grants) {
            val granted = minOf(credits, left)
            if (granted <= 0) continue
            left -= granted
            byEntry[entry]?.let { grant(it, granted, 0, out) }
        }
    }

    private fun issueConnections(
        entries: List<EntryConnection>,
        limit: Int,
        free: Int,
        out: Outbox,
    ) {
        var left = free
        entries.sortedBy { entry(it).value }.forEachIndexed { place, connection ->
            val share = limit / entries.size + if (place < limit % entries.size) 1 else 0
            val held = connection.connections.unspent + connection.openRequests
            if (held > share) recall(connection, 0, held - share - connection.connections.recalling, out)
            val granted = minOf(share - held, left)
            if (granted > 0) {
                left -= granted
                grant(connection, 0, granted, out)
            }
        }
    }

    private fun grant(
        connection: EntryConnection,
        slots: Int,
        connections: Int,
        out: Outbox,
    ) {
        connection.slots.grant(slots)
        connection.connections.grant(connections)
        out.send(connection.id, AgentFrame(credits = Credits(slots, connections)))
    }

    private fun recall(
        connection: EntryConnection,
        slots: Int,
        connections: Int,
        out: Outbox,
    ) {
        val now = clock.monotonic()
        val recalled = Credits(connection.slots.recall(slots, now), connection.connections.recall(connections, now))
        if (recalled.slots > 0 || recalled.connections > 0) out.send(connection.id, AgentFrame(recalled = recalled))
    }

    private fun writeOff(connection: EntryConnection) {
        val now = clock.monotonic()
        connection.slots.writeOff(now, options.recallPatience)
        connection.connections.writeOff(now, options.recallPatience)
    }

    private fun entry(connection: EntryConnection): EntryId = checkNotNull(connection.run).entry
}
