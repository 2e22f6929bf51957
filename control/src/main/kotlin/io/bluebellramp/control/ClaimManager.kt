package io.bluebellramp.control

import io.bluebellramp.core.Clock
import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.ClaimMembers
import io.bluebellramp.messages.ClaimRelease
import io.bluebellramp.messages.ClaimRequest
import io.bluebellramp.messages.ClaimResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.replication.ReplicatedLog
import kotlin.time.Duration
import io.bluebellramp.messages.ClaimTable as ClaimTablePage

/**
 * Decides claims under the committed membership of the log. Thread-safe.
 *
 * @param isFounder see [ClaimTable]
 * @param maxClaims see [ClaimTable]
 */
class ClaimManager(
    private val self: MemberId,
    private val log: ReplicatedLog,
    clock: Clock,
    leaseDuration: Duration,
    isFounder: Boolean = false,
    maxClaims: Int = ClaimTable.MAX_CLAIMS,
) {
    private val table = ClaimTable(self, clock, leaseDuration, isFounder, maxClaims)
    private var committedMembers: ClaimMembers? = null

    /** Returns the committed voters, or null until this member knows them. */
    fun members(): ClaimMembers? = withTable { committedMembers }

    /** Grants or refuses the claims of [request]. */
    fun claim(request: ClaimRequest): ClaimResponse = withTable { it.claim(request) }

    /** Releases claims of one entry. */
    fun release(release: ClaimRelease) = withTable { it.release(release) }

    /** Returns a page of the claims, starting at time bucket [fromBucket]. */
    fun page(
        copyRequirement: CopyRequirement,
        fromBucket: Long,
    ): ClaimTablePage = withTable { it.page(copyRequirement, fromBucket) }

    /** Number of stored claims. */
    fun claimCount(): Int = withTable { it.size }

    /** Returns whether this member can decide the claim on every submission. */
    fun isComplete(): Boolean = withTable { it.isComplete() }

    /**
     * Copies claims that this member may be missing from each voter not copied yet.
     *
     * @param fetch requests the page that starts at a time bucket from a member; returns null if the request failed
     */
    suspend fun copyMissingClaims(fetch: suspend (MemberAddress, CopyRequirement, Long) -> ClaimTablePage?) {
        if (withTable { it.isFull() }) return
        val sources = withTable { table -> committedMembers?.members.orEmpty().filter { it.member in table.uncopiedMembers() } }
        sources.forEach { copyClaimsFrom(it, fetch) }
    }

    /** Copies the claims of [source] page by page, because memory cannot hold all of them twice. */
    private suspend fun copyClaimsFrom(
        source: MemberAddress,
        fetch: suspend (MemberAddress, CopyRequirement, Long) -> ClaimTablePage?,
    ) {
        val copyRequirement = withTable { it.copyRequirement }
        var fromBucket: Long? = withTable { it.firstBucket() }
        var version = Long.MAX_VALUE
        while (fromBucket != null) {
            val page = fetch(source, copyRequirement, fromBucket) ?: return
            if (!withTable { it.mergePage(page) }) return
            version = minOf(version, page.membership)
            fromBucket = page.next
        }
        withTable { it.finishCopy(source.member, version) }
    }

    /** Applies the latest committed membership. An uncommitted one may be rolled back, so it is ignored. */
    private fun refreshMembership() {
        val status = log.status()
        val membership = status.membership
        if (membership.index > status.commitIndex || membership.index <= (committedMembers?.version ?: NO_VERSION)) return
        committedMembers = ClaimMembers(version = membership.index, members = membership.voters)
        table.setMembership(membership.index, membership.voters.map { it.member }.toSet())
    }

    private fun <T> withTable(action: (ClaimTable) -> T): T =
        synchronized(table) {
            refreshMembership()
            action(table)
        }

    private companion object {
        const val NO_VERSION = -1L
    }
}
