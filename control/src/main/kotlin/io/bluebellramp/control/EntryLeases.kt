package io.bluebellramp.control

import io.bluebellramp.core.Revision
import io.bluebellramp.messages.EntryStatus
import io.bluebellramp.messages.LeaseRequest
import java.util.TreeMap
import kotlin.time.Duration

/** The leases that one incarnation of an entry may still hold, and what it reported last. */
internal class EntryLeases(
    first: LeaseRequest,
    arrived: Duration,
) {
    private val ends = TreeMap<Revision, Duration>()
    private var heard = arrived
    private var oldestPermit = first.oldestPermit

    /** The last request. */
    var last = first
        private set

    /** Notes a request. Permits below the oldest one that it names are gone, so leases below it no longer matter. */
    fun report(
        request: LeaseRequest,
        arrived: Duration,
    ) {
        last = request
        heard = maxOf(heard, arrived)
        oldestPermit = maxOf(oldestPermit, request.oldestPermit)
        ends.headMap(oldestPermit, false).clear()
    }

    /** Notes a lease under [revision] that runs out at [end]. */
    fun grant(
        revision: Revision,
        end: Duration,
    ) {
        ends.merge(revision, end) { old, new -> maxOf(old, new) }
    }

    /** Returns the lowest revision of a lease that may still be alive at [now]. */
    fun oldestLease(now: Duration): Revision? {
        while (ends.isNotEmpty() && ends.firstEntry().value <= now) ends.pollFirstEntry()
        return ends.keys.firstOrNull()
    }

    /** Tells whether a lease may still be alive at [now]. */
    fun holdsLease(now: Duration): Boolean = oldestLease(now) != null

    /** Tells whether the entry counts as live at [now]. */
    fun isLive(now: Duration): Boolean = !last.leaving && now - heard < LeaseTable.ENTRY_LIFE

    /** Returns what an operator sees. */
    fun status(now: Duration) =
        EntryStatus(
            entry = last.entry,
            address = last.address,
            zone = last.zone,
            oldestPermit = oldestPermit,
            agents = last.agents,
            silentMillis = (now - heard).inWholeMilliseconds,
        )
}
