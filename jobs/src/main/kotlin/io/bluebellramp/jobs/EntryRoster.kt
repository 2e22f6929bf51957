package io.bluebellramp.jobs

import io.bluebellramp.core.Address
import io.bluebellramp.placement.EntryLocation
import io.bluebellramp.placement.EntrySubset
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tracks the entries that an agent knows and decides to which of them it keeps links: a state machine without I/O, used from one thread.
 *
 * The directories of control are incomplete while control or entries restart, so an entry that is no longer listed stays known for
 * [EXPIRY]. While one of the chosen entries is away, the next one is used in addition.
 */
internal class EntryRoster(
    private val subset: EntrySubset,
) {
    /**
     * What the agent should do with its links.
     *
     * @property wanted entries to keep a link to
     * @property surplus connected entries that have not been wanted for some time; their links can be closed once no task depends on them
     */
    data class Plan(
        val wanted: Set<Address>,
        val surplus: Set<Address>,
    )

    private class KnownEntry(
        val location: EntryLocation,
        var listedAt: Duration,
        var aliveAt: Duration,
    )

    private val entries = LinkedHashMap<Address, KnownEntry>()
    private val seeds = HashMap<Address, Duration>()
    private val unwantedSince = HashMap<Address, Duration>()
    private var lastKnownAgents = 0

    /** Adds entries whose zone is unknown. They are wanted at first, and until control lists any entry. */
    fun addSeeds(
        addresses: List<Address>,
        now: Duration,
    ) = addresses.forEach { seeds[it] = now }

    /**
     * Returns the plan for the entries that control lists now.
     *
     * @param connected entries with an open link
     * @param agents number of agents of the same service, or 0 if it is unknown
     */
    fun update(
        listed: Collection<EntryLocation>,
        connected: Set<Address>,
        agents: Int,
        now: Duration,
    ): Plan {
        for (location in listed) {
            val known = entries[location.address]?.takeIf { it.location == location }
            val entry = known ?: KnownEntry(location, now, now).also { entries[location.address] = it }
            entry.listedAt = now
            entry.aliveAt = now
        }
        connected.forEach { entries[it]?.aliveAt = now }
        // Without control no entry expires: a smaller fleet would mean fewer links, and those would expire next.
        if (listed.isNotEmpty()) entries.values.removeAll { now - it.listedAt > EXPIRY && it.location.address !in connected }
        seeds.values.removeAll { now - it > EXPIRY }
        if (agents > 0) lastKnownAgents = agents
        val wanted = wanted(lastKnownAgents, now)
        unwantedSince.keys.retainAll(connected - wanted)
        (connected - wanted).forEach { unwantedSince.putIfAbsent(it, now) }
        return Plan(wanted, unwantedSince.filterValues { now - it >= SURPLUS_AFTER }.keys.toSet())
    }

    private fun wanted(
        agents: Int,
        now: Duration,
    ): Set<Address> {
        if (entries.isEmpty()) return seeds.keys.toSet()
        val recentSeeds = seeds.filterValues { now - it <= SEEDS_WANTED_FOR }.keys
        val known = entries.values.map { it.location }
        val alive = entries.values.filter { now - it.aliveAt <= REPLACE_AFTER }.map { it.location }
        val chosen = subset.select(known, agents)
        val replacements = if (alive.size == known.size) emptySet() else subset.select(alive, agents)
        return chosen + replacements + recentSeeds
    }

    private companion object {
        /** Time for which an entry that control no longer lists is still dialled. Longer than a power loss of the core lasts. */
        val EXPIRY = 60.seconds

        /** Time after the start in which the first directories arrive and may be incomplete. */
        val SEEDS_WANTED_FOR = 10.seconds

        /** An entry that is neither listed nor connected for this long is replaced. Longer than a process takes to restart. */
        val REPLACE_AFTER = 3.seconds

        /** Longer than control takes to list all entries after a restart, so that links are not closed and opened again meanwhile. */
        val SURPLUS_AFTER = 5.seconds
    }
}
