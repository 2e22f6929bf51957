package io.bluebellramp.control.node

import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipAction
import io.bluebellramp.messages.MembershipRequest

/**
 * Decides which members the replicated log should have, from the processes that ask to join. No I/O.
 *
 * @param wanted number of voters that the system was founded with
 */
internal class MemberKeeper(
    private val wanted: Int,
) {
    /**
     * Returns the next change, or null.
     *
     * @param joining members that have asked to join and can be reached
     * @param isSilent tells whether a voter has not answered for so long that one at another address may take its place
     */
    fun nextChange(
        membership: Membership,
        joining: Collection<MemberAddress>,
        isSilent: (MemberAddress) -> Boolean,
    ): MembershipRequest? {
        val voters = membership.voters.map { it.member }.toSet()
        val silent = membership.voters.filter(isSilent)
        val newcomer = joining.firstOrNull { it.member !in voters && it.member !in membership.retired }
        if (newcomer != null) {
            // A newcomer at the address of a voter stands for a VM that has lost its disk.
            val former = membership.voters.find { it.address == newcomer.address } ?: silent.firstOrNull()
            val leftover = membership.learners.find { it.address == newcomer.address && it.member != newcomer.member }
            if (leftover != null) return MembershipRequest(MembershipAction.REMOVE, leftover.member)
            if (former == null) return MembershipRequest(MembershipAction.ADD, newcomer.member, newcomer.address)
            return MembershipRequest(MembershipAction.REPLACE, newcomer.member, newcomer.address, former.member)
        }
        if (membership.voters.size > wanted && silent.size == 1) return MembershipRequest(MembershipAction.REMOVE, silent.single().member)
        return null
    }
}
