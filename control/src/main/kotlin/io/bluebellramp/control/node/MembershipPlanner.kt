package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipAction
import io.bluebellramp.messages.MembershipRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides which processes should be members of the replicated log. Does no I/O.
 *
 * With [desiredVoters] voters, a majority survives the tolerated losses. Further processes become learners, so that one already has the
 * log when it must replace a lost voter.
 *
 * @param toleratedLosses number of members that may be lost with their disks at the same time
 * @param founders number of initial members of the cluster
 */
internal class MembershipPlanner(
    toleratedLosses: Int,
    founders: Int,
) {
    /** Number of voters that the log should have. */
    val desiredVoters = maxOf(2 * toleratedLosses + 1, founders).coerceAtMost(MAX_VOTERS)

    /**
     * The state of the cluster as the leader sees it.
     *
     * @property joining reachable members that have asked to join
     * @property silenceOf returns the time since a member last answered, counted from this process's election at most; zero for itself
     * @property leader address of this process
     * @property zoneOf returns the availability zone of a process, or null if it is unknown
     */
    class LeaderView(
        val membership: Membership,
        val joining: Collection<MemberAddress>,
        val silenceOf: (MemberAddress) -> Duration,
        val leader: Address? = null,
        val zoneOf: (Address) -> ZoneId? = { null },
    ) {
        internal fun isSilent(member: MemberAddress) = silenceOf(member) > SILENT_AFTER
    }

    /** Returns the next membership change, or null if none is needed. */
    fun nextChange(view: LeaderView): MembershipRequest? {
        val members = view.membership
        return replaceMemberWithLostDisk(view)
            ?: preferredMember(view)?.let { admit(view, it) }
            ?: members.voters.filter(view::isSilent).let { silentVoters ->
                silentVoters.singleOrNull()?.takeIf { members.voters.size > desiredVoters }?.let { remove(it) }
            }
            ?: balanceZones(view)
            ?: members.learners.find { view.silenceOf(it) > LEARNER_TIMEOUT }?.let { remove(it) }
    }

    /** A new member at the address of a known one means that the VM lost its disk, so the known member is gone. */
    private fun replaceMemberWithLostDisk(view: LeaderView): MembershipRequest? {
        val members = view.membership
        for (newcomer in newcomers(view)) {
            val staleLearner = members.learners.find { it.address == newcomer.address && it.member != newcomer.member }
            if (staleLearner != null) return remove(staleLearner)
            val replaced = members.voters.find { it.address == newcomer.address } ?: continue
            return MembershipRequest(MembershipAction.REPLACE, newcomer.member, newcomer.address, replaced.member)
        }
        return null
    }

    private fun admit(
        view: LeaderView,
        newcomer: MemberAddress,
    ): MembershipRequest? {
        val members = view.membership
        val silentVoters = members.voters.filter(view::isSilent)
        return when {
            silentVoters.isNotEmpty() -> {
                MembershipRequest(MembershipAction.REPLACE, newcomer.member, newcomer.address, silentVoters.first().member)
            }

            members.voters.size < desiredVoters -> {
                MembershipRequest(MembershipAction.ADD, newcomer.member, newcomer.address)
            }

            newcomer !in members.learners && members.learners.size < MAX_LEARNERS -> {
                MembershipRequest(MembershipAction.LEARN, newcomer.member, newcomer.address)
            }

            else -> {
                null
            }
        }
    }

    /**
     * Lets a learner replace a voter in a zone that has at least two more voters than the learner's zone, so that a majority survives the
     * loss of one zone.
     */
    private fun balanceZones(view: LeaderView): MembershipRequest? {
        val members = view.membership
        val votersByZone = members.voters.groupBy { view.zoneOf(it.address) }
        for (learner in members.learners.filterNot(view::isSilent)) {
            val zone = view.zoneOf(learner.address) ?: continue
            val votersInZone = votersByZone[zone].orEmpty().size
            val largestZone = votersByZone.filterKeys { it != null }.values.maxByOrNull { it.size } ?: continue
            val replaced = largestZone.firstOrNull { it.address != view.leader } ?: continue
            if (largestZone.size < votersInZone + 2) continue
            return MembershipRequest(MembershipAction.REPLACE, learner.member, learner.address, replaced.member)
        }
        return null
    }

    /** Returns the next voter: in the zone with the fewest responsive voters, and preferably a learner, which already has the log. */
    private fun preferredMember(view: LeaderView): MemberAddress? {
        val members = view.membership
        val voterCountByZone =
            members.voters
                .filterNot(view::isSilent)
                .groupingBy { view.zoneOf(it.address) }
                .eachCount()
        val isFull = members.voters.size >= desiredVoters && members.voters.none(view::isSilent)
        val learners = members.learners.filterNot { isFull || view.isSilent(it) }
        return (
            learners +
                newcomers(
                    view,
                ).filter { it !in members.learners }
        ).minByOrNull { voterCountByZone[view.zoneOf(it.address)] ?: 0 }
    }

    private fun newcomers(view: LeaderView): List<MemberAddress> {
        val members = view.membership
        return view.joining.filter { joiner -> members.voters.none { it.member == joiner.member } && joiner.member !in members.retired }
    }

    private fun remove(member: MemberAddress) = MembershipRequest(MembershipAction.REMOVE, member.member)

    private companion object {
        /**
         * A voter that has not answered for this long may be replaced by a member at another address. A restart takes about a second, and
         * the next VM may be lost 4 s after the previous one has returned.
         */
        val SILENT_AFTER = 2.seconds

        /** A learner that has not answered for this long is removed. It costs nothing until then, and can join again. */
        val LEARNER_TIMEOUT = 30.seconds

        /** Each voter costs messages and a disk sync per change; seven tolerate three losses. */
        const val MAX_VOTERS = 7

        /** The leader sends every change to each learner. */
        const val MAX_LEARNERS = 4
    }
}
