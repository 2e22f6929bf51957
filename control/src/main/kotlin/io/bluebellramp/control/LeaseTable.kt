package io.bluebellramp.control

import io.bluebellramp.core.Clock
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.messages.EntryPeer
import io.bluebellramp.messages.EntryStatus
import io.bluebellramp.messages.LeaseRequest
import java.util.TreeMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The leader's view of leases: which entries are live, and which revision is in force. Does no I/O and is not thread-safe.
 *
 * Call [enterTerm] with the current term before anything else, [recordRequest] when a lease request arrives, and [recordLease] just
 * before the answer, while the member still holds a majority.
 *
 * @param leaseDuration how long a lease is valid, counted from the moment the entry sent its request
 */
class LeaseTable(
    private val clock: Clock,
    private val leaseDuration: Duration,
) {
    private val entries = LinkedHashMap<EntryKey, EntryLeases>()
    private var term = NO_TERM
    private var earlierLeasesEnd = Duration.ZERO
    private val acceptedAt = TreeMap<Revision, Duration>()
    private var inForceByTime: Revision? = null

    /**
     * Records that this member is the leader in [term].
     *
     * In a new term, leases granted by earlier leaders are assumed to be valid for one lease duration, because this member does not
     * know them.
     */
    fun enterTerm(term: Long) {
        if (term == this.term) return
        this.term = term
        entries.clear()
        earlierLeasesEnd = clock.monotonic() + leaseDuration
    }

    /**
     * Records that [revision] was accepted. Must be called on every member, so that a new leader knows it.
     *
     * No lease under an older revision is granted from then on, so the revision is in force at the latest one lease duration later.
     */
    fun recordAccepted(revision: Revision) {
        acceptedAt.putIfAbsent(revision, clock.monotonic())
    }

    /** Records [request], which arrived at [arrivedAt] on the monotonic clock. */
    fun recordRequest(
        request: LeaseRequest,
        arrivedAt: Duration,
    ) {
        removeExpired()
        val entry = entries.getOrPut(request.key()) { EntryLeases(request, arrivedAt) }
        entry.recordRequest(request, arrivedAt)
    }

    /** Records that [request], which arrived at [arrivedAt], is answered with a lease under [revision]. */
    fun recordLease(
        request: LeaseRequest,
        arrivedAt: Duration,
        revision: Revision,
    ) {
        entries.getOrPut(request.key()) { EntryLeases(request, arrivedAt) }.recordLease(revision, end = arrivedAt + leaseDuration)
    }

    /**
     * Returns the highest revision in force, where [accepted] is the last accepted one, or null if it is not known yet.
     *
     * No agent can start a task under a lower revision, even if messages are delayed or lost or processes are frozen.
     */
    fun revisionInForce(accepted: Revision): Revision? {
        val now = clock.monotonic()
        val inForceByTime = inForceByTime(now)
        if (now < earlierLeasesEnd) return inForceByTime
        val confirmed =
            entries.values
                .mapNotNull { it.lowestLeasedRevision(now) }
                .plus(accepted)
                .min()
        return if (inForceByTime == null) confirmed else maxOf(inForceByTime, confirmed)
    }

    /** Returns the highest revision that was accepted at least one lease duration ago, or null. */
    private fun inForceByTime(now: Duration): Revision? {
        while (acceptedAt.isNotEmpty() && acceptedAt.firstEntry().value + leaseDuration <= now) {
            val next = acceptedAt.pollFirstEntry().key
            inForceByTime = inForceByTime?.let { maxOf(it, next) } ?: next
        }
        return inForceByTime
    }

    /** Returns whether [revision] is in force, where [accepted] is the last accepted one. */
    fun isInForce(
        revision: Revision,
        accepted: Revision,
    ): Boolean = revisionInForce(accepted).let { it != null && it >= revision }

    /** Returns the live entries, as other entries see them. */
    fun livePeers(): List<EntryPeer> =
        liveEntries().map { EntryPeer(entry = it.entry, incarnation = it.incarnation, address = it.address, site = it.site) }

    /** Returns the status of each live entry for operators. */
    fun statuses(): List<EntryStatus> {
        val now = clock.monotonic()
        return entries.values.filter { it.isLive(now) }.map { it.status(now) }
    }

    /** Number of entries that may hold an unexpired lease. */
    fun leaseCount(): Int = clock.monotonic().let { now -> entries.values.count { it.holdsLease(now) } }

    private fun liveEntries(): List<LeaseRequest> =
        clock.monotonic().let { now -> entries.values.filter { it.isLive(now) }.map { it.lastRequest } }

    private fun removeExpired() {
        val now = clock.monotonic()
        entries.values.removeIf { !it.isLive(now) && !it.holdsLease(now) }
    }

    private fun LeaseRequest.key() = EntryKey(entry, incarnation)

    private data class EntryKey(
        val entry: EntryId,
        val incarnation: IncarnationId,
    )

    companion object {
        private const val NO_TERM = -1L

        /** An entry counts as live for this long after its last lease request. */
        val ENTRY_TIMEOUT = 3.seconds
    }
}
