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
 * Answers lease requests while this member leads. Safe for concurrent use.
 *
 * @param members tells the committed voting members that count claims
 */
class LeaseDesk(
    private val log: ReplicatedLog,
    private val machine: ConfigurationMachine,
    private val clock: Clock,
    private val life: Duration,
    private val members: () -> ClaimMembers?,
) {
    private val table = LeaseTable(clock, life)
    private val longestHold = life / HOLD_SHARE

    /** Notes each accepted revision until it is cancelled. Run it at every member. */
    suspend fun noteRevisions() {
        machine.configuration.collect { view -> synchronized(table) { table.accept(view.revision) } }
    }

    /**
     * Answers [request], at once or when the revision changes.
     *
     * The majority is checked after the request arrived and again at the moment of the answer.
     */
    suspend fun answer(request: LeaseRequest): LeaseResponse {
        val arrived = clock.monotonic()
        if (!log.holdsMajority()) return refusal()
        onTable { it.report(request, arrived) }
        hold(request)
        if (!log.holdsMajority()) return refusal()
        return grant(request, arrived)
    }

    /** Returns the highest revision that is in force, or null if this member does not lead or cannot know yet. */
    fun revisionInForce(): Revision? {
        if (!log.holdsMajority()) return null
        return onTable { it.revisionInForce(machine.configuration.value.revision) }
    }

    /** Returns each live entry as an operator sees it. */
    fun statuses(): List<EntryStatus> = if (log.holdsMajority()) onTable { it.statuses() } else emptyList()

    /** Number of entries whose lease may still be alive. */
    fun leases(): Int = synchronized(table) { table.leases() }

    private fun grant(
        request: LeaseRequest,
        arrived: Duration,
    ): LeaseResponse {
        var peers = emptyList<EntryPeer>()
        // The revision is read and noted in one step, so that a change that is accepted later waits for this lease.
        val view =
            onTable {
                val view = machine.configuration.value
                it.grant(request, arrived, view.revision)
                peers = it.live()
                view
            }
        if (request.revision > view.revision) return refusal()
        return LeaseResponse(
            granted = true,
            leader = log.status().leader?.address,
            lifeMillis = life.inWholeMilliseconds,
            revision = view.revision,
            configuration = view.takeIf { it.revision != request.revision || it.revision == Revision.ZERO },
            entries = peers,
            members = members(),
        )
    }

    private suspend fun hold(request: LeaseRequest) {
        val wait = minOf(request.waitMillis.milliseconds, longestHold)
        if (request.leaving || wait <= Duration.ZERO) return
        withTimeoutOrNull(wait) { machine.configuration.first { it.revision > request.revision } }
    }

    private fun refusal() = LeaseResponse(granted = false, leader = log.status().leader?.address)

    private fun <T> onTable(action: (LeaseTable) -> T): T {
        // A candidate has not won its term yet, and the old leader may go on granting leases until it has.
        val status = log.status()
        return synchronized(table) {
            if (status.role == Role.LEADER) table.lead(status.term)
            action(table)
        }
    }

    private companion object {
        const val HOLD_SHARE = 4
    }
}
