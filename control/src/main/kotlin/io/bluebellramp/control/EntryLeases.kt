package io.bluebellramp.control

import io.bluebellramp.core.Revision
import io.bluebellramp.messages.EntryStatus
import io.bluebellramp.messages.LeaseRequest
import java.util.TreeMap
import kotlin.time.Duration

/** The leases that one incarnation of an entry may still hold, and its last request. */
internal class EntryLeases(
    firstRequest: LeaseRequest,
    arrivedAt: Duration,
) {
    private val leaseEndByRevision = TreeMap<Revision, Duration>()
    private var lastRequestAt = arrivedAt
    private var oldestPermit = firstRequest.oldestPermit

    /** The last lease request. */
    var lastRequest = firstRequest
        private set

    /** Records a request. Permits below its [LeaseRequest.oldestPermit] have expired, so leases below that revision are dropped. */
    fun recordRequest(
        request: LeaseRequest,
        arrivedAt: Duration,
    ) {
        lastRequest = request
        lastRequestAt = maxOf(lastRequestAt, arrivedAt)
        oldestPermit = maxOf(oldestPermit, request.oldestPermit)
        leaseEndByRevision.headMap(oldestPermit, false).clear()
    }

    /** Records a lease under [revision] that expires at [end]. */
    fun recordLease(
        revision: Revision,
        end: Duration,
    ) {
        leaseEndByRevision.merge(revision, end) { old, new -> maxOf(old, new) }
    }

    /** Returns the lowest revision with a lease that may be unexpired at [now], or null. */
    fun lowestLeasedRevision(now: Duration): Revision? {
        while (leaseEndByRevision.isNotEmpty() && leaseEndByRevision.firstEntry().value <= now) leaseEndByRevision.pollFirstEntry()
        return leaseEndByRevision.keys.firstOrNull()
    }

    /** Returns whether a lease may be unexpired at [now]. */
    fun holdsLease(now: Duration): Boolean = lowestLeasedRevision(now) != null

    /** Returns whether the entry counts as live at [now]. */
    fun isLive(now: Duration): Boolean = !lastRequest.leaving && now - lastRequestAt < LeaseTable.ENTRY_TIMEOUT

    /** Returns the status shown to operators. */
    fun status(now: Duration) =
        EntryStatus(
            entry = lastRequest.entry,
            address = lastRequest.address,
            zone = lastRequest.zone,
            oldestPermit = oldestPermit,
            agents = lastRequest.agents,
            silentMillis = (now - lastRequestAt).inWholeMilliseconds,
        )
}
