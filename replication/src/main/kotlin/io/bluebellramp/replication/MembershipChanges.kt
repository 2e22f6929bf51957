package io.bluebellramp.replication

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipAction
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.RecordKind
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Performs membership changes, one at a time.
 *
 * A new member is a learner first. Once its log is close enough to the commit index, one membership record makes it a voter and, in a
 * replacement, retires the old member. Committing that record needs a majority of the old and of the new voters. A second record with the
 * same members confirms the change.
 */
internal class MembershipChanges(
    private val state: MemberState,
    private val leader: Leader,
) {
    /**
     * A change under way.
     *
     * @property learnerRecordIndex index of the record that added the learner to promote, or null if the change needs no further step
     */
    private class Change(
        val proposal: Long,
        val request: MembershipRequest,
        val term: Long,
        val startedAt: Duration,
        var learnerRecordIndex: Long?,
    )

    private val log get() = state.log
    private var change: Change? = null

    fun propose(
        now: Duration,
        proposal: Long,
        request: MembershipRequest,
    ) {
        val result =
            when {
                state.role != Role.LEADER -> ProposalResult.NotLeader(state.leader)
                !leader.hasAppliedOwnTerm -> ProposalResult.Refused("the leader has just been elected")
                change != null || log.isJoint || !isCommitted() -> ProposalResult.Refused("another change is under way")
                else -> refusalReason(request)?.let { ProposalResult.Refused(it) }
            }
        if (result != null) return state.outbox.completeProposal(proposal, result)
        change = Change(proposal, request, state.term, now, null)
        startChange(request)
    }

    /** Performs the next step of the change once the previous one is committed. */
    fun advance(now: Duration) {
        val current = change
        if (current != null && (state.role != Role.LEADER || state.term != current.term)) {
            change = null
            state.outbox.completeProposal(current.proposal, ProposalResult.Unknown)
        }
        if (!leader.hasAppliedOwnTerm || !isCommitted()) return
        if (log.isJoint) return appendMembership(log.membership)
        val openChange = change ?: return
        when {
            openChange.learnerRecordIndex == null -> completeChange(openChange)
            hasTimedOut(now, openChange) -> abandonChange(openChange)
            else -> promoteLearner(openChange)
        }
    }

    private fun hasTimedOut(
        now: Duration,
        openChange: Change,
    ): Boolean {
        val lastContactAt = maxOf(leader.lastContactAt(openChange.request.member) ?: openChange.startedAt, openChange.startedAt)
        return now - openChange.startedAt > CATCH_UP_TIMEOUT || now - lastContactAt > state.settings.learnerTimeout
    }

    private fun isCommitted() = log.membership.index <= state.commitIndex

    private fun startChange(request: MembershipRequest) {
        if (request.action == MembershipAction.REMOVE) return appendMembership(withoutMember(log.membership, request.member))
        val learner = MemberAddress(request.member, checkNotNull(request.address))
        if (learner !in log.membership.learners) {
            appendMembership(log.membership.copy(learners = log.membership.learners + learner))
        }
        if (request.action != MembershipAction.LEARN) change?.learnerRecordIndex = log.membership.index
    }

    private fun promoteLearner(openChange: Change) {
        val matchIndex = leader.matchIndexOf(openChange.request.member)
        if (matchIndex < checkNotNull(openChange.learnerRecordIndex) || matchIndex + MAX_RECORDS_BEHIND < state.commitIndex) return
        val learner = log.membership.learners.single { it.member == openChange.request.member }
        val withLearner =
            log.membership.copy(
                voters = log.membership.voters + learner,
                learners = log.membership.learners - learner,
            )
        openChange.learnerRecordIndex = null
        appendMembership(openChange.request.replaces?.let { withoutMember(withLearner, it) } ?: withLearner)
    }

    /** Removes a learner that does not answer or catch up, so that it does not block other changes. Its id may be added again. */
    private fun abandonChange(openChange: Change) {
        change = null
        appendMembership(log.membership.copy(learners = log.membership.learners.filter { it.member != openChange.request.member }))
        val timeout = state.settings.learnerTimeout
        val reason = "member ${openChange.request.member} did not catch up within $CATCH_UP_TIMEOUT, or was silent for $timeout"
        state.outbox.completeProposal(openChange.proposal, ProposalResult.Refused(reason))
    }

    private fun completeChange(openChange: Change) {
        change = null
        val answer = WireJson.encodeToString(log.membership)
        state.outbox.completeProposal(openChange.proposal, ProposalResult.Applied(log.membership.index, answer))
    }

    private fun appendMembership(next: Membership) {
        val body = next.copy(index = log.lastIndex + 1)
        state.append(RecordKind.MEMBERSHIP, WireJson.encodeToString(body))
    }

    private fun withoutMember(
        from: Membership,
        member: MemberId,
    ) = from.copy(
        voters = from.voters.filter { it.member != member },
        learners = from.learners.filter { it.member != member },
        retired = from.retired + member,
    )

    private fun refusalReason(request: MembershipRequest): String? =
        when (request.action) {
            MembershipAction.ADD, MembershipAction.LEARN -> reasonNotToAdd(request)
            MembershipAction.REPLACE -> reasonNotToAdd(request) ?: reasonNotToRemove(request.replaces)
            MembershipAction.REMOVE -> reasonNotToRemove(request.member)
        }

    private fun reasonNotToAdd(request: MembershipRequest): String? {
        val address = request.address ?: return "an address is required"
        val members = log.membership
        val learner = members.learners.find { it.member == request.member }
        return when {
            request.member in members.retired -> "member ${request.member} is retired and never comes back"
            members.voters.any { it.member == request.member } -> "member ${request.member} is a voter already"
            learner != null && learner.address != address -> "member ${request.member} joins at ${learner.address}"
            learner == null && isAddressInUse(address, request) -> "$address is in use"
            else -> null
        }
    }

    /**
     * With [LogSettings.messagesCarryReceiverId], a member whose folder was emptied may be replaced by a new member at the same address.
     */
    private fun isAddressInUse(
        address: Address,
        request: MembershipRequest,
    ): Boolean {
        val membersAtAddress = (log.membership.voters + log.membership.learners).filter { it.address == address }
        val mayShare = state.settings.messagesCarryReceiverId && request.replaces != null
        return membersAtAddress.any { !mayShare || it.member != request.replaces }
    }

    private fun reasonNotToRemove(member: MemberId?): String? {
        val members = log.membership
        val isVoter = members.voters.any { it.member == member }
        return when {
            member == null -> "the member to replace is required"
            member == state.id -> "member $member leads; stop it first"
            !isVoter && members.learners.none { it.member == member } -> "member $member is not a member"
            isVoter && members.voters.size == 1 -> "member $member is the last voter"
            else -> null
        }
    }

    private companion object {
        /** Maximum distance of a learner's log from the commit index at which the learner becomes a voter. */
        const val MAX_RECORDS_BEHIND = 16L

        /** Time for a learner to catch up before the change is abandoned. */
        val CATCH_UP_TIMEOUT = 60.seconds
    }
}
