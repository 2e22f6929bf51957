package io.bluebellramp.control

import io.bluebellramp.core.Clock
import io.bluebellramp.core.Revision
import io.bluebellramp.messages.ClaimMembers
import io.bluebellramp.messages.EntryPeer
import io.bluebellramp.messages.EntryStatus
import io.bluebellramp.messages.LeaseRequest
import io.bluebellramp.messages.LeaseResponse
import io.bluebellramp.replication.ReplicatedLog
import io.bluebellramp.replication.Role
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Grants leases to entries while this member is the leader. Thread-safe.
 *
 * @param members returns the committed voters, which decide claims
 */
class LeaseManager(
    private val log: ReplicatedLog,
    private val machine: ConfigurationStateMachine,
    private val clock: Clock,
    private val leaseDuration: Duration,
    private val members: () -> ClaimMembers?,
) {
    private val table = LeaseTable(clock, leaseDuration)
    private val maxHold = leaseDuration / HOLD_DIVISOR

    /** Records each accepted revision until cancelled. Must run on every member, so that a new leader knows the revisions. */
    suspend fun trackAcceptedRevisions() {
        machine.configuration.collect { view -> synchronized(table) { table.recordAccepted(view.revision) } }
    }

    /**
     * Answers [request] after the requested wait, at most [maxHold], or earlier if the revision changes.
     *
     * Checks that this member holds a majority when the request arrives and again just before the answer.
     */
    suspend fun answer(request: LeaseRequest): LeaseResponse {
        val arrivedAt = clock.monotonic()
        if (!log.holdsLeaderLease()) return refusal()
        withTable { it.recordRequest(request, arrivedAt) }
        awaitNewRevision(request)
        if (!log.holdsLeaderLease()) return refusal()
        return grant(request, arrivedAt)
    }

    /** Returns the highest revision in force, or null if this member is not the leader or does not know yet. */
    fun revisionInForce(): Revision? {
        if (!log.holdsLeaderLease()) return null
        return withTable { it.revisionInForce(machine.configuration.value.revision) }
    }

    /** Returns the status of each live entry for operators. */
    fun statuses(): List<EntryStatus> = if (log.holdsLeaderLease()) withTable { it.statuses() } else emptyList()

    /** Number of entries that may hold an unexpired lease. */
    fun leaseCount(): Int = synchronized(table) { table.leaseCount() }

    private fun grant(
        request: LeaseRequest,
        arrivedAt: Duration,
    ): LeaseResponse {
        var peers = emptyList<EntryPeer>()
        // Reads the revision and records the lease under one lock, so that a change accepted later waits for this lease.
        val view =
            withTable {
                val view = machine.configuration.value
                it.recordLease(request, arrivedAt, view.revision)
                peers = it.livePeers()
                view
            }
        if (request.revision > view.revision) return refusal()
        return LeaseResponse(
            granted = true,
            leader = log.status().leader?.address,
            lifeMillis = leaseDuration.inWholeMilliseconds,
            revision = view.revision,
            configuration = view.takeIf { it.revision != request.revision || it.revision == Revision.ZERO },
            entries = peers,
            members = members(),
        )
    }

    private suspend fun awaitNewRevision(request: LeaseRequest) {
        val wait = minOf(request.waitMillis.milliseconds, maxHold)
        if (request.leaving || wait <= Duration.ZERO) return
        withTimeoutOrNull(wait) { machine.configuration.first { it.revision > request.revision } }
    }

    private fun refusal() = LeaseResponse(granted = false, leader = log.status().leader?.address)

    private fun <T> withTable(action: (LeaseTable) -> T): T {
        // A candidate has not won its term yet; until it does, the old leader may still grant leases.
        val status = log.status()
        return synchronized(table) {
            if (status.role == Role.LEADER) table.enterTerm(status.term)
            action(table)
        }
    }

    private companion object {
        const val HOLD_DIVISOR = 4
    }
}
