package io.bluebellramp.placement

import io.bluebellramp.core.Address
import io.bluebellramp.core.ZoneId
import java.util.SplittableRandom

/** An entry that agents can connect to, and the availability zone of its VM. */
data class EntryLocation(
    val address: Address,
    val zone: ZoneId,
)

/**
 * Chooses the entries to which one agent connects, so that the number of links of an entry does not grow with the fleet.
 *
 * Answers a fleet in which links between all entries and all agents would cost more than the tasks. Every agent chooses for itself by
 * rendezvous hashing: an entry gets about [AGENTS_PER_ENTRY] agents of each service, and an entry that comes or goes changes few choices. Half of the choice
 * is in the agent's own zone, because traffic between zones is slow and priced. The other half is spread over the other zones, so that
 * an entry keeps agents while its zone is out of service, and shares the remaining ones evenly with all other entries.
 *
 * @param agent name of the agent; it stays the same across restarts
 * @param zone availability zone of the agent
 */
class EntrySubset(
    private val agent: String,
    private val zone: ZoneId,
) {
    /**
     * Returns the addresses to connect to.
     *
     * @param agents number of agents of the same service, or 0 if it is unknown; [SIZE_IF_UNKNOWN] entries are chosen then
     */
    fun select(
        entries: Collection<EntryLocation>,
        agents: Int,
    ): Set<Address> {
        val size = size(entries.size, agents)
        if (size >= entries.size) return entries.mapTo(LinkedHashSet()) { it.address }
        val ranked = entries.sortedBy { rank(it.address.value) }
        val (local, remote) = ranked.partition { it.zone == zone }
        val remoteInTurns =
            inTurns(
                remote
                    .groupBy { it.zone }
                    .toSortedMap(compareBy { rank(it.value) })
                    .values
                    .toList(),
            )
        val localSize = maxOf((size + 1) / 2, size - remote.size).coerceAtMost(local.size)
        return (local.take(localSize) + remoteInTurns.take(size - localSize)).mapTo(LinkedHashSet()) { it.address }
    }

    private fun size(
        entries: Int,
        agents: Int,
    ): Int {
        if (agents <= 0) return SIZE_IF_UNKNOWN
        val share = (entries.toLong() * AGENTS_PER_ENTRY + agents - 1) / agents
        return share.coerceIn(MIN_ENTRIES.toLong(), maxOf(entries, MIN_ENTRIES).toLong()).toInt()
    }

    /** Returns the first of each list, then the second of each, and so on. */
    private fun inTurns(lists: List<List<EntryLocation>>): List<EntryLocation> =
        (0 until (lists.maxOfOrNull { it.size } ?: 0)).flatMap { turn -> lists.mapNotNull { it.getOrNull(turn) } }

    /**
     * Returns a number that is uniformly distributed over agents and names, and always the same for this agent and [name]. A generator
     * without a linear structure is needed: with another, agents with similar names would choose the same entries.
     */
    private fun rank(name: String): Long {
        val seed = (agent.hashCode().toLong() shl Int.SIZE_BITS) or (name.hashCode().toLong() and INT_MASK)
        return SplittableRandom(seed).nextLong()
    }

    private companion object {
        /** Mean number of agents of an entry. Enough for a wide job, and for the load of one entry to be a small part of each agent's. */
        const val AGENTS_PER_ENTRY = 32

        /** Few enough that a restart of the whole fleet is not slowed down by links that are not needed. */
        const val SIZE_IF_UNKNOWN = 8

        /** An agent keeps this many entries in any case, so that it stays in use while some of them are down. */
        const val MIN_ENTRIES = 4
        const val INT_MASK = 0xFFFF_FFFFL
    }
}
