package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipAction
import io.bluebellramp.messages.MembershipRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.seconds

class MemberKeeperTest {
    private val keeper = MemberKeeper(toleratedLosses = 1, founders = 3)
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
        zones: Map<String, String> = emptyMap(),
        keeper: MemberKeeper = this.keeper,
    ) = keeper.nextChange(
        MemberKeeper.View(
            membership,
            joining,
            silenceOf = { if (it.member.value in silent) 3.seconds else 1.seconds },
            leader = Address("a:1"),
            zoneOf = { address -> zones[address.host]?.let { ZoneId(it) } },
        ),
    )

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
    fun `a member gets the log, without a vote, while there are enough voters`() {
        val fresh = member("d")
        assertEquals(MembershipRequest(MembershipAction.LEARN, fresh.member, fresh.address), next(joining = listOf(fresh)))
        assertNull(next(membership(learners = listOf(fresh)), joining = listOf(fresh)))
    }

    @Test
    fun `a learner takes the place of a silent voter`() {
        val learner = member("d")
        val change = next(membership(learners = listOf(learner)), silent = setOf("b"))
        assertEquals(MembershipRequest(MembershipAction.REPLACE, learner.member, learner.address, MemberId("b")), change)
    }

    @Test
    fun `members are added until two lost disks leave a majority`() {
        val two = MemberKeeper(toleratedLosses = 2, founders = 3)
        val all = listOf("a", "b", "c", "d", "e", "f").map { member(it) }
        assertEquals(MembershipAction.ADD, next(membership(all.take(3)), joining = all.drop(3), keeper = two)?.action)
        assertEquals(MembershipAction.ADD, next(membership(all.take(4)), joining = all.drop(4), keeper = two)?.action)
        assertEquals(MembershipAction.LEARN, next(membership(all.take(5)), joining = all.drop(5), keeper = two)?.action)
    }

    @Test
    fun `the next voter comes from the zone with the fewest`() {
        val two = MemberKeeper(toleratedLosses = 2, founders = 3)
        val zones = mapOf("a" to "x", "b" to "x", "c" to "y", "d" to "x", "e" to "z")
        assertEquals(MemberId("e"), next(joining = listOf(member("d"), member("e")), zones = zones, keeper = two)?.member)
    }

    @Test
    fun `a vote leaves a zone that has two more than that of a learner`() {
        val learner = member("d")
        val crowded = mapOf("a" to "x", "b" to "x", "c" to "y", "d" to "z")
        val change = next(membership(learners = listOf(learner)), zones = crowded)
        assertEquals(MembershipRequest(MembershipAction.REPLACE, learner.member, learner.address, MemberId("b")), change)
        assertNull(next(membership(learners = listOf(learner)), zones = crowded + ("b" to "z")))
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
        val change = next(membership(voters.take(2), learners = listOf(fresh)), joining = listOf(fresh))
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
