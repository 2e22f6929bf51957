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
 * The leader's view of leases: which entries live, and which revision is in force. No I/O, one thread at a time.
 *
 * Call [lead] with the current term before anything else, [report] when a lease request arrives, and [grant] at the moment of
 * the answer, while the member still holds a majority.
 *
 * @param life how long a lease is good for, counted from the moment the entry sent its request
 */
class LeaseTable(
    private val clock: Clock,
    private val life: Duration,
) {
    private val entries = LinkedHashMap<EntryKey, EntryLeases>()
    private var term = NO_TERM
    private var quietUntil = Duration.ZERO
    private val acceptances = TreeMap<Revision, Duration>()
    private var outlived: Revision? = null

    /**
     * Notes that this member leads in [term].
     *
     * In a new term all leases of earlier leaders count as alive for one life, because this member does not know them.
     */
    fun lead(term: Long) {
        if (term == this.term) return
        this.term = term
        entries.clear()
        quietUntil = clock.monotonic() + life
    }

    /**
     * Notes that [revision] is accepted. Call it at every member, so that it is known after an election.
     *
     * No lease under an older revision is granted from then on, so one life later the revision is in force by that alone.
     */
    fun accept(revision: Revision) {
        acceptances.putIfAbsent(revision, clock.monotonic())
    }

    /** Notes [request], which arrived at [arrived] on the clock. */
    fun report(
        request: LeaseRequest,
        arrived: Duration,
    ) {
        forgetSilent()
        val entry = entries.getOrPut(request.key()) { EntryLeases(request, arrived) }
        entry.report(request, arrived)
    }

    /** Notes that [request], which arrived at [arrived], is answered with a lease under [revision]. */
    fun grant(
        request: LeaseRequest,
        arrived: Duration,
        revision: Revision,
    ) {
        entries.getOrPut(request.key()) { EntryLeases(request, arrived) }.grant(revision, end = arrived + life)
    }

    /**
     * Returns the highest revision that is in force, if [accepted] is the accepted one, or null if that is not known yet.
     *
     * No agent can start a task under a revision below it, whatever is delayed, dropped or frozen.
     */
    fun revisionInForce(accepted: Revision): Revision? {
        val now = clock.monotonic()
        val outlived = outlived(now)
        if (now < quietUntil) return outlived
        val confirmed =
            entries.values
                .mapNotNull { it.oldestLease(now) }
                .plus(accepted)
                .min()
        return if (outlived == null) confirmed else maxOf(outlived, confirmed)
    }

    /** Returns the highest revision that was accepted at least one life ago. */
    private fun outlived(now: Duration): Revision? {
        while (acceptances.isNotEmpty() && acceptances.firstEntry().value + life <= now) {
            val next = acceptances.pollFirstEntry().key
            outlived = outlived?.let { maxOf(it, next) } ?: next
        }
        return outlived
    }

    /** Tells whether [revision] is in force, if [accepted] is the accepted one. */
    fun isInForce(
        revision: Revision,
        accepted: Revision,
    ): Boolean = revisionInForce(accepted).let { it != null && it >= revision }

    /** Returns the live entries. */
    fun live(): List<EntryPeer> =
        liveEntries().map { EntryPeer(entry = it.entry, incarnation = it.incarnation, address = it.address, site = it.site) }

    /** Returns each live entry as an operator sees it. */
    fun statuses(): List<EntryStatus> {
        val now = clock.monotonic()
        return entries.values.filter { it.isLive(now) }.map { it.status(now) }
    }

    /** Number of entries whose lease may still be alive. */
    fun leases(): Int = clock.monotonic().let { now -> entries.values.count { it.holdsLease(now) } }

    private fun liveEntries(): List<LeaseRequest> =
        clock.monotonic().let { now -> entries.values.filter { it.isLive(now) }.map { it.last } }

    private fun forgetSilent() {
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

        /** How long an entry counts as live after its last lease request. */
        val ENTRY_LIFE = 3.seconds
    }
}
