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

class MembershipPlannerTest {
    private val keeper = MembershipPlanner(toleratedLosses = 1, founders = 3)
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
        keeper: MembershipPlanner = this.keeper,
    ) = keeper.nextChange(
        MembershipPlanner.LeaderView(
            membership,
            joining,
            silenceOf = { if (it.member.value in silent) 3.seconds else 1.seconds },
            leader = Address("a:1"),
            zoneOf = { address -> zones[address.host]?.let { ZoneId(it) } },
        ),
    )

    @Test
    fun `nothing changes while no process asks to join`() = assertNull(next(silent = setOf("c")))

    @Test
    fun `a member with an empty disk replaces the voter at its address`() {
        val newcomer = member("c-new", host = "c")
        assertEquals(
            MembershipRequest(MembershipAction.REPLACE, newcomer.member, newcomer.address, MemberId("c")),
            next(joining = listOf(newcomer)),
        )
    }

    @Test
    fun `a member at another address replaces a silent voter`() {
        val newcomer = member("d")
        val change = next(joining = listOf(newcomer), silent = setOf("b"))
        assertEquals(MembershipRequest(MembershipAction.REPLACE, newcomer.member, newcomer.address, MemberId("b")), change)
    }

    @Test
    fun `a new member becomes a learner while there are enough voters`() {
        val newcomer = member("d")
        assertEquals(MembershipRequest(MembershipAction.LEARN, newcomer.member, newcomer.address), next(joining = listOf(newcomer)))
        assertNull(next(membership(learners = listOf(newcomer)), joining = listOf(newcomer)))
    }

    @Test
    fun `a learner replaces a silent voter`() {
        val learner = member("d")
        val change = next(membership(learners = listOf(learner)), silent = setOf("b"))
        assertEquals(MembershipRequest(MembershipAction.REPLACE, learner.member, learner.address, MemberId("b")), change)
    }

    @Test
    fun `members are added until two lost disks leave a majority`() {
        val toleratingTwo = MembershipPlanner(toleratedLosses = 2, founders = 3)
        val all = listOf("a", "b", "c", "d", "e", "f").map { member(it) }
        assertEquals(MembershipAction.ADD, next(membership(all.take(3)), joining = all.drop(3), keeper = toleratingTwo)?.action)
        assertEquals(MembershipAction.ADD, next(membership(all.take(4)), joining = all.drop(4), keeper = toleratingTwo)?.action)
        assertEquals(MembershipAction.LEARN, next(membership(all.take(5)), joining = all.drop(5), keeper = toleratingTwo)?.action)
    }

    @Test
    fun `the next voter is in the zone with the fewest voters`() {
        val toleratingTwo = MembershipPlanner(toleratedLosses = 2, founders = 3)
        val zones = mapOf("a" to "x", "b" to "x", "c" to "y", "d" to "x", "e" to "z")
        assertEquals(MemberId("e"), next(joining = listOf(member("d"), member("e")), zones = zones, keeper = toleratingTwo)?.member)
    }

    @Test
    fun `a learner replaces a voter in a zone that has two more voters than its own`() {
        val learner = member("d")
        val unevenZones = mapOf("a" to "x", "b" to "x", "c" to "y", "d" to "z")
        val change = next(membership(learners = listOf(learner)), zones = unevenZones)
        assertEquals(MembershipRequest(MembershipAction.REPLACE, learner.member, learner.address, MemberId("b")), change)
        assertNull(next(membership(learners = listOf(learner)), zones = unevenZones + ("b" to "z")))
    }

    @Test
    fun `a silent voter is removed if there are more voters than desired`() {
        val four = membership(voters + member("d"))
        assertEquals(MembershipRequest(MembershipAction.REMOVE, MemberId("a")), next(four, silent = setOf("a")))
        assertNull(next(four, silent = setOf("a", "b")))
    }

    @Test
    fun `a learner whose change was interrupted is added again`() {
        val newcomer = member("d")
        val change = next(membership(voters.take(2), learners = listOf(newcomer)), joining = listOf(newcomer))
        assertEquals(MembershipRequest(MembershipAction.ADD, newcomer.member, newcomer.address), change)
    }

    @Test
    fun `a learner that lost its disk is removed when a new member joins at its address`() {
        val former = member("d1", host = "d")
        val newcomer = member("d2", host = "d")
        val change = next(membership(learners = listOf(former)), joining = listOf(newcomer))
        assertEquals(MembershipRequest(MembershipAction.REMOVE, former.member), change)
    }

    @Test
    fun `a retired member never comes back`() {
        val former = member("d")
        assertNull(next(membership(retired = listOf(former.member)), joining = listOf(former)))
    }
}
