package io.bluebellramp.control.node

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Logs the voters, the silent voters and the members that ask to join, as the leader sees them, whenever one of these sets changes. */
internal class VoterMonitor {
    private var loggedMembers: Set<MemberId> = emptySet()

    /** Voters that had not answered for [SILENT_AFTER] at the last [update]. */
    var silentVoters = 0
        private set

    /**
     * Updates [silentVoters] and logs the sets if they changed.
     *
     * @param leadsFor how long this process has been the leader, or null if it is not
     * @param silence time since the last answer of each voter
     * @param joining time since the last join request of each new member
     */
    fun update(
        membership: Membership,
        leadsFor: Duration?,
        silence: Map<MemberId, Duration>,
        joining: Map<MemberAddress, Duration>,
    ) {
        val silent = silence.filterValues { it > SILENT_AFTER }
        silentVoters = if (leadsFor == null) 0 else silent.size
        val next = if (leadsFor == null) emptySet() else silent.keys + joining.keys.map { it.member } + membership.voters.map { it.member }
        if (next == loggedMembers) return
        loggedMembers = next
        if (leadsFor == null) return
        val quiet = silent.entries.joinToString { (member, age) -> "$member for $age" }
        val asking = joining.entries.joinToString { (member, age) -> "${member.member} $age ago" }
        val reason =
            "leads for $leadsFor; voters ${membership.voters.size} of index ${membership.index}, silent [$quiet], asked to join [$asking]"
        logDecision(Decision(kind = "voters", reason = reason.take(MAX_REASON_CHARACTERS)))
    }

    private companion object {
        /** Several heartbeats, so that one missed answer is not logged. */
        val SILENT_AFTER = 1.seconds
        const val MAX_REASON_CHARACTERS = 400
    }
}
