package io.bluebellramp.control.node

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Logs who votes, who is silent and who asks to join, as the leader sees them: one line for each change of these sets. */
internal class VoterWatch {
    private var known: Set<MemberId> = emptySet()

    /** Voters that have not answered for [NOTICED_AFTER], at the last call. */
    var silentVoters = 0
        private set

    /**
     * Notes what the leader sees.
     *
     * @param leadsFor how long this process has led; null if it does not lead
     * @param silence how long each voter has not answered
     * @param joining how long ago each newcomer asked to join
     */
    fun note(
        membership: Membership,
        leadsFor: Duration?,
        silence: Map<MemberId, Duration>,
        joining: Map<MemberAddress, Duration>,
    ) {
        val silent = silence.filterValues { it > NOTICED_AFTER }
        silentVoters = if (leadsFor == null) 0 else silent.size
        val next = if (leadsFor == null) emptySet() else silent.keys + joining.keys.map { it.member } + membership.voters.map { it.member }
        if (next == known) return
        known = next
        if (leadsFor == null) return
        val quiet = silent.entries.joinToString { (member, age) -> "$member for $age" }
        val asking = joining.entries.joinToString { (member, age) -> "${member.member} $age ago" }
        val reason =
            "leads for $leadsFor; voters ${membership.voters.size} of index ${membership.index}, silent [$quiet], asked to join [$asking]"
        logDecision(Decision(kind = "voters", reason = reason.take(LONGEST_REASON)))
    }

    private companion object {
        /** Several heartbeats: a voter that misses one answer is no news. */
        val NOTICED_AFTER = 1.seconds
        const val LONGEST_REASON = 400
    }
}
