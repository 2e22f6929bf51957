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
 * Changes the members, one change at a time.
 *
 * A new member is a learner first. Once it has the log nearly up to the commit index, one record makes it a voter and, in a
 * replacement, retires the old one. That record needs a majority of the old and of the new voters; a second record with the same
 * members confirms it.
 */
internal class MembershipChanges(
    private val state: MemberState,
    private val leader: Leader,
) {
    private class Change(
        val proposal: Long,
        val request: MembershipRequest,
        val term: Long,
        val startedAt: Duration,
        var learnerIndex: Long?,
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
                !leader.isConfirmed -> ProposalResult.Refused("the leader has just been elected")
                change != null || log.isJoint || !isCommitted() -> ProposalResult.Refused("another change is under way")
                else -> refusal(request)?.let { ProposalResult.Refused(it) }
            }
        if (result != null) return state.outbox.finish(proposal, result)
        change = Change(proposal, request, state.term, now, null)
        begin(request)
    }

    /** Takes the next step if the last one is committed. */
    fun advance(now: Duration) {
        val current = change
        if (current != null && (state.role != Role.LEADER || state.term != current.term)) {
            change = null
            state.outbox.finish(current.proposal, ProposalResult.Unknown)
        }
        if (!leader.isConfirmed || !isCommitted()) return
        if (log.isJoint) return record(log.membership)
        val open = change ?: return
        when {
            open.learnerIndex == null -> finish(open)
            isHopeless(now, open) -> giveUp(open)
            else -> promote(open)
        }
    }

    private fun isHopeless(
        now: Duration,
        open: Change,
    ): Boolean {
        val heard = maxOf(leader.heardFrom(open.request.member) ?: open.startedAt, open.startedAt)
        return now - open.startedAt > CATCH_UP_LIMIT || now - heard > state.settings.learnerSilence
    }

    private fun isCommitted() = log.membership.index <= state.commitIndex

    private fun begin(request: MembershipRequest) {
        if (request.action == MembershipAction.REMOVE) return record(without(log.membership, request.member))
        val learner = MemberAddress(request.member, checkNotNull(request.address))
        if (learner !in log.membership.learners) {
            record(log.membership.copy(learners = log.membership.learners + learner))
        }
        if (request.action != MembershipAction.LEARN) change?.learnerIndex = log.membership.index
    }

    private fun promote(open: Change) {
        val match = leader.matchOf(open.request.member)
        if (match < checkNotNull(open.learnerIndex) || match + NEARLY < state.commitIndex) return
        val learner = log.membership.learners.single { it.member == open.request.member }
        val grown =
            log.membership.copy(
                voters = log.membership.voters + learner,
                learners = log.membership.learners - learner,
            )
        open.learnerIndex = null
        record(open.request.replaces?.let { without(grown, it) } ?: grown)
    }

    /** Drops a learner that can't be reached, so that it does not block other changes. Its id may be added again. */
    private fun giveUp(open: Change) {
        change = null
        record(log.membership.copy(learners = log.membership.learners.filter { it.member != open.request.member }))
        val silence = state.settings.learnerSilence
        val reason = "member ${open.request.member} did not catch up within $CATCH_UP_LIMIT, or was silent for $silence"
        state.outbox.finish(open.proposal, ProposalResult.Refused(reason))
    }

    private fun finish(open: Change) {
        change = null
        val answer = WireJson.encodeToString(log.membership)
        state.outbox.finish(open.proposal, ProposalResult.Applied(log.membership.index, answer))
    }

    private fun record(next: Membership) {
        val body = next.copy(index = log.lastIndex + 1)
        state.append(RecordKind.MEMBERSHIP, WireJson.encodeToString(body))
    }

    private fun without(
        from: Membership,
        member: MemberId,
    ) = from.copy(
        voters = from.voters.filter { it.member != member },
        learners = from.learners.filter { it.member != member },
        retired = from.retired + member,
    )

    private fun refusal(request: MembershipRequest): String? =
        when (request.action) {
            MembershipAction.ADD, MembershipAction.LEARN -> refusalToAdd(request)
            MembershipAction.REPLACE -> refusalToAdd(request) ?: refusalToRemove(request.replaces)
            MembershipAction.REMOVE -> refusalToRemove(request.member)
        }

    private fun refusalToAdd(request: MembershipRequest): String? {
        val address = request.address ?: return "an address is required"
        val members = log.membership
        val learner = members.learners.find { it.member == request.member }
        return when {
            request.member in members.retired -> "member ${request.member} is retired and never comes back"
            members.voters.any { it.member == request.member } -> "member ${request.member} is a voter already"
            learner != null && learner.address != address -> "member ${request.member} joins at ${learner.address}"
            learner == null && isUsed(address, request) -> "$address is in use"
            else -> null
        }
    }

    /** Where messages name their receiver, a member whose folder was emptied is replaced at its own address. */
    private fun isUsed(
        address: Address,
        request: MembershipRequest,
    ): Boolean {
        val users = (log.membership.voters + log.membership.learners).filter { it.address == address }
        val mayShare = state.settings.namesReceiver && request.replaces != null
        return users.any { !mayShare || it.member != request.replaces }
    }

    private fun refusalToRemove(member: MemberId?): String? {
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
        /** Records that a learner may lack when it becomes a voter. */
        const val NEARLY = 16L

        /** Longest time that a learner may take to catch up. */
        val CATCH_UP_LIMIT = 60.seconds
    }
}
