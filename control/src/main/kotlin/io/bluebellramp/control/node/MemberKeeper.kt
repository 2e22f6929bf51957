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
 * Decides which members the replicated log should have, from the processes that ask to join. No I/O.
 *
 * A majority of [wanted] voters outlives the tolerated losses. Every further process is a learner: it has the log already when a voter is
 * lost and it is to take that place.
 *
 * @param toleratedLosses members that may be lost with their disks at the same moment
 * @param founders number of members that found the system
 */
internal class MemberKeeper(
    toleratedLosses: Int,
    founders: Int,
) {
    /** Number of voters that the log should have. */
    val wanted = maxOf(2 * toleratedLosses + 1, founders).coerceAtMost(MOST_VOTERS)

    /**
     * What the leader knows.
     *
     * @property joining members that have asked to join and can be reached
     * @property silenceOf returns how long a member has not answered since this process leads; zero for itself
     * @property leader this process
     * @property zoneOf returns the availability zone of a process, or null if it is not known
     */
    class View(
        val membership: Membership,
        val joining: Collection<MemberAddress>,
        val silenceOf: (MemberAddress) -> Duration,
        val leader: Address? = null,
        val zoneOf: (Address) -> ZoneId? = { null },
    ) {
        internal fun isSilent(member: MemberAddress) = silenceOf(member) > SILENT_AFTER
    }

    /** Returns the next change, or null. */
    fun nextChange(view: View): MembershipRequest? {
        val members = view.membership
        return emptiedDisk(view)
            ?: candidate(view)?.let { takeIn(view, it) }
            ?: members.voters.filter(view::isSilent).let { silent ->
                silent.singleOrNull()?.takeIf { members.voters.size > wanted }?.let { remove(it) }
            }
            ?: balance(view)
            ?: members.learners.find { view.silenceOf(it) > LEARNER_GONE_AFTER }?.let { remove(it) }
    }

    /** A newcomer at the address of a member stands for a VM that has lost its disk: the former member is gone. */
    private fun emptiedDisk(view: View): MembershipRequest? {
        val members = view.membership
        for (newcomer in newcomers(view)) {
            val leftover = members.learners.find { it.address == newcomer.address && it.member != newcomer.member }
            if (leftover != null) return remove(leftover)
            val former = members.voters.find { it.address == newcomer.address } ?: continue
            return MembershipRequest(MembershipAction.REPLACE, newcomer.member, newcomer.address, former.member)
        }
        return null
    }

    private fun takeIn(
        view: View,
        candidate: MemberAddress,
    ): MembershipRequest? {
        val members = view.membership
        val silent = members.voters.filter(view::isSilent)
        return when {
            silent.isNotEmpty() -> {
                MembershipRequest(MembershipAction.REPLACE, candidate.member, candidate.address, silent.first().member)
            }

            members.voters.size < wanted -> {
                MembershipRequest(MembershipAction.ADD, candidate.member, candidate.address)
            }

            candidate !in members.learners && members.learners.size < MOST_LEARNERS -> {
                MembershipRequest(MembershipAction.LEARN, candidate.member, candidate.address)
            }

            else -> {
                null
            }
        }
    }

    /** Moves a vote out of a zone that has two more than the zone of a learner, so that the loss of one zone leaves a majority. */
    private fun balance(view: View): MembershipRequest? {
        val members = view.membership
        val voters = members.voters.groupBy { view.zoneOf(it.address) }
        for (learner in members.learners.filterNot(view::isSilent)) {
            val zone = view.zoneOf(learner.address) ?: continue
            val few = voters[zone].orEmpty().size
            val crowded = voters.filterKeys { it != null }.values.maxByOrNull { it.size } ?: continue
            val former = crowded.firstOrNull { it.address != view.leader } ?: continue
            if (crowded.size < few + 2) continue
            return MembershipRequest(MembershipAction.REPLACE, learner.member, learner.address, former.member)
        }
        return null
    }

    /** The next voter: in the zone with the fewest voters that answer, and rather one that has the log already. */
    private fun candidate(view: View): MemberAddress? {
        val members = view.membership
        val zones =
            members.voters
                .filterNot(view::isSilent)
                .groupingBy { view.zoneOf(it.address) }
                .eachCount()
        val isFull = members.voters.size >= wanted && members.voters.none(view::isSilent)
        val learners = members.learners.filterNot { isFull || view.isSilent(it) }
        return (learners + newcomers(view).filter { it !in members.learners }).minByOrNull { zones[view.zoneOf(it.address)] ?: 0 }
    }

    private fun newcomers(view: View): List<MemberAddress> {
        val members = view.membership
        return view.joining.filter { asking -> members.voters.none { it.member == asking.member } && asking.member !in members.retired }
    }

    private fun remove(member: MemberAddress) = MembershipRequest(MembershipAction.REMOVE, member.member)

    private companion object {
        /**
         * A voter without an answer for this long may be replaced by a member at another address: a restart takes about a second, and a VM
         * counts as whole, so that the next one may be lost, 4 s after its return at the earliest.
         */
        val SILENT_AFTER = 2.seconds

        /** A learner without an answer for this long is gone for good: it costs nothing meanwhile, and one that returns starts anew. */
        val LEARNER_GONE_AFTER = 30.seconds

        /** Each further voter costs messages and a sync of each change; seven outlive three losses. */
        const val MOST_VOTERS = 7

        /** Learners cost the leader the sending of each change. */
        const val MOST_LEARNERS = 4
    }
}
