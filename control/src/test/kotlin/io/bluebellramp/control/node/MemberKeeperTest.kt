package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipAction
import io.bluebellramp.messages.MembershipRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class MemberKeeperTest {
    private val keeper = MemberKeeper(wanted = 3)
    private val voters = listOf("a", "b", "c").map { member(it) }

    private fun member(
        id: String,
        host: String = id,
    ) = MemberAddress(MemberId(id), Address("$host:1"))

    private fun membership(
        voters: List<MemberAddress> = this.voters,
        learners: List<MemberAddress> = emptyList(),
        retired: List<MemberId> = emptyList(),
    ) = Membership(1, voters, learners, retired)

    private fun next(
        membership: Membership = membership(),
        joining: List<MemberAddress> = emptyList(),
        silent: Set<String> = emptySet(),
    ) = keeper.nextChange(membership, joining) { it.member.value in silent }

    @Test
    fun `nothing changes while nobody asks`() = assertNull(next(silent = setOf("c")))

    @Test
    fun `a member with an empty disk replaces the voter at its address`() {
        val fresh = member("c-new", host = "c")
        assertEquals(MembershipRequest(MembershipAction.REPLACE, fresh.member, fresh.address, MemberId("c")), next(joining = listOf(fresh)))
    }

    @Test
    fun `a member at another address takes the place of a silent voter`() {
        val fresh = member("d")
        val change = next(joining = listOf(fresh), silent = setOf("b"))
        assertEquals(MembershipRequest(MembershipAction.REPLACE, fresh.member, fresh.address, MemberId("b")), change)
    }

    @Test
    fun `a member is added while all voters answer`() {
        val fresh = member("d")
        assertEquals(MembershipRequest(MembershipAction.ADD, fresh.member, fresh.address), next(joining = listOf(fresh)))
    }

    @Test
    fun `a silent voter goes if there are more than the system was founded with`() {
        val four = membership(voters + member("d"))
        assertEquals(MembershipRequest(MembershipAction.REMOVE, MemberId("a")), next(four, silent = setOf("a")))
        assertNull(next(four, silent = setOf("a", "b")))
    }

    @Test
    fun `a learner whose change was cut off is taken up again`() {
        val fresh = member("d")
        val change = next(membership(learners = listOf(fresh)), joining = listOf(fresh))
        assertEquals(MembershipRequest(MembershipAction.ADD, fresh.member, fresh.address), change)
    }

    @Test
    fun `a learner that lost its disk makes way for its successor`() {
        val former = member("d1", host = "d")
        val fresh = member("d2", host = "d")
        val change = next(membership(learners = listOf(former)), joining = listOf(fresh))
        assertEquals(MembershipRequest(MembershipAction.REMOVE, former.member), change)
    }

    @Test
    fun `a retired member never comes back`() {
        val former = member("d")
        assertNull(next(membership(retired = listOf(former.member)), joining = listOf(former)))
    }
}
