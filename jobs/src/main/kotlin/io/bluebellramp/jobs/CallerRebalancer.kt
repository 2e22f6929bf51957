package io.bluebellramp.jobs

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.ZoneId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** One life of an entry, as control lists it. */
data class EntryLife(
    val incarnation: IncarnationId,
    val zone: ZoneId,
)

/**
 * Decides which callers an entry asks to connect again, so that the load balancer spreads them anew: a state machine without I/O, used from one thread.
 *
 * Answers the loss and return of entries under load. A load balancer chooses an entry for each new connection only. Callers of a lost entry
 * connect to those that are left and stay there, so without this the survivors carry the whole zone long after the others are back.
 *
 * Once an entry has joined the zone and had [SETTLING_TIME] to be found by the load balancer, each connection that is older than that is closed after
 * a reply. The closings are spread over [SPREAD], so that callers do not return together. No request is lost: a reply names the closing, and a
 * request that has already arrived is served first.
 *
 * @param self the life of this entry
 */
class CallerRebalancer(
    private val self: EntryLife,
) {
    private val known = LinkedHashMap<IncarnationId, Duration>()
    private var listedBefore: List<IncarnationId> = emptyList()
    private var startedAt: Duration? = null
    private var joinedAt: Duration? = null

    /** Number of connections closed so that their callers connect again. */
    var closedCount = 0L
        private set

    /**
     * Records the entries that control lists at [now]. Returns those that have joined the zone of this entry since the last call.
     *
     * Control itself may have just started and list few entries, so an entry that is missing stays known for [MEMORY].
     */
    fun update(
        listed: Collection<EntryLife>,
        now: Duration,
    ): List<EntryLife> {
        // Control tells its lists only when they change, so what it listed last was there until now.
        listedBefore.forEach { known[it] = now }
        val neighbours = listed.filter { it.zone == self.zone && it.incarnation != self.incarnation }.distinct()
        val joined = neighbours.filter { it.incarnation !in known }
        neighbours.forEach { known[it.incarnation] = now }
        listedBefore = neighbours.map { it.incarnation }
        known.values.removeIf { now - it > MEMORY }
        // What is listed while this entry starts was there before any of its callers.
        val start = startedAt ?: if (listed.isEmpty()) return emptyList() else now.also { startedAt = it }
        if (now - start < START_UP_TIME || joined.isEmpty()) return emptyList()
        joinedAt = now
        return joined
    }

    /**
     * Returns whether a connection that was opened at [openedAt] is kept after a reply at [now].
     *
     * @param draw number from 0 to 1 that was drawn for the connection; it decides when within [SPREAD] the connection is closed
     */
    fun keeps(
        openedAt: Duration,
        draw: Double,
        now: Duration,
    ): Boolean {
        val settledAt = (joinedAt ?: return true) + SETTLING_TIME
        if (now < settledAt || openedAt >= settledAt) return true
        if (now < settledAt + SPREAD * draw) return true
        closedCount++
        return false
    }

    companion object {
        /** A load balancer that probes readiness once a second sends callers to the new entry by then. */
        val SETTLING_TIME = 3.seconds

        /** Time from the first closing until every older connection is closed after its next reply. */
        val SPREAD = 2.seconds

        /** Time in which control lists the entries that started together with this one. */
        val START_UP_TIME = 5.seconds

        /** Longer than a control that has just started lists too few entries. */
        val MEMORY = 60.seconds
    }
}
