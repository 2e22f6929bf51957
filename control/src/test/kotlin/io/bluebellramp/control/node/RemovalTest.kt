package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.Directory
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import kotlin.test.Test
import kotlin.test.assertEquals

class RemovalTest {
    private class Case(
        val name: String,
        val known: Membership,
        val told: List<Directory>,
        val isRemoved: Boolean,
        val isSettled: Boolean = true,
    )

    private fun members(ids: String) = ids.map { MemberAddress(MemberId("$it"), Address("$it:1")) }

    private fun known(
        index: Long,
        ids: String,
        learners: String = "",
        retired: List<MemberId> = emptyList(),
    ) = Membership(index, members(ids), members(learners), retired)

    private fun told(
        index: Long,
        ids: String,
    ) = Directory(controls = members(ids), controlsIndex = index, entries = emptyList())

    private val cases =
        listOf(
            Case("it hears nothing of others", known(9, "abn"), emptyList(), false),
            Case(
                "two that are behind do not name a member that came later",
                known(9, "abn"),
                listOf(told(1, "abc"), told(1, "abc")),
                false,
            ),
            Case("a newer list does not name it", known(9, "abn"), listOf(told(12, "abc")), true),
            Case("a newer list names it", known(9, "abn"), listOf(told(12, "abn")), false),
            Case("its own log says so", known(9, "abc", retired = listOf(MemberId("n"))), emptyList(), true),
            Case(
                "its own log says so by a change that is not confirmed",
                known(9, "abc", retired = listOf(MemberId("n"))),
                emptyList(),
                isRemoved = false,
                isSettled = false,
            ),
            Case("a learner that was removed", known(9, "abc", learners = "n"), listOf(told(12, "abc")), true),
            Case("a newcomer that nobody has taken in yet", known(0, ""), listOf(told(12, "abc")), false),
        )

    @Test
    fun `a member gives up its log only once a newer list leaves it out`() =
        cases.forEach { assertEquals(it.isRemoved, isRemoved(MemberId("n"), it.known, it.isSettled, it.told), it.name) }
}
