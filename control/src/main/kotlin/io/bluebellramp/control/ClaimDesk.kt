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
import io.bluebellramp.messages.ClaimTable as ClaimCopy

/**
 * Judges claims in the committed membership of the log. Safe for concurrent use.
 *
 * @param isFounder see [ClaimTable]
 * @param mostClaims see [ClaimTable]
 */
class ClaimDesk(
    private val self: MemberId,
    private val log: ReplicatedLog,
    clock: Clock,
    life: Duration,
    isFounder: Boolean = false,
    mostClaims: Int = ClaimTable.MOST_CLAIMS,
) {
    private val table = ClaimTable(self, clock, life, isFounder, mostClaims)
    private var joined: ClaimMembers? = null

    /** Returns the committed voting members, or null until this member knows them. */
    fun members(): ClaimMembers? = onTable { joined }

    /** Judges the claims of [request]. */
    fun claim(request: ClaimRequest): ClaimResponse = onTable { it.claim(request) }

    /** Gives up claims. */
    fun release(release: ClaimRelease) = onTable { it.release(release) }

    /** Returns a page of the claims from group [from] on. */
    fun copy(
        need: CopyNeed,
        from: Long,
    ): ClaimCopy = onTable { it.copy(need, from) }

    /** Number of claims held. */
    fun size(): Int = onTable { it.size }

    /** Tells whether every submission can be judged here. */
    fun isWhole(): Boolean = onTable { it.isWhole() }

    /**
     * Copies the claims that this member may lack from each member that has them.
     *
     * @param fetch asks a member for the page that begins with a group, and returns null if no answer came
     */
    suspend fun copyMissing(fetch: suspend (MemberAddress, CopyNeed, Long) -> ClaimCopy?) {
        if (onTable { it.isFull() }) return
        val sources = onTable { table -> joined?.members.orEmpty().filter { it.member in table.missing() } }
        sources.forEach { copyFrom(it, fetch) }
    }

    /** Copies the claims of [source] page by page, since all together would not fit into memory a second time. */
    private suspend fun copyFrom(
        source: MemberAddress,
        fetch: suspend (MemberAddress, CopyNeed, Long) -> ClaimCopy?,
    ) {
        val need = onTable { it.need }
        var from: Long? = onTable { it.firstGroup() }
        var version = Long.MAX_VALUE
        while (from != null) {
            val copy = fetch(source, need, from) ?: return
            if (!onTable { it.mergePart(copy) }) return
            version = minOf(version, copy.membership)
            from = copy.next
        }
        onTable { it.finishCopy(source.member, version) }
    }

    /** A membership that is not committed may be taken back, so it does not count. */
    private fun join() {
        val status = log.status()
        val membership = status.membership
        if (membership.index > status.commitIndex || membership.index <= (joined?.version ?: NO_VERSION)) return
        joined = ClaimMembers(version = membership.index, members = membership.voters)
        table.join(membership.index, membership.voters.map { it.member }.toSet())
    }

    private fun <T> onTable(action: (ClaimTable) -> T): T =
        synchronized(table) {
            join()
            action(table)
        }

    private companion object {
        const val NO_VERSION = -1L
    }
}
