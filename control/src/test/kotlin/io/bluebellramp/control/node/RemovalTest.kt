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
        val directory: List<Directory>,
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

    private fun directory(
        index: Long,
        ids: String,
    ) = Directory(controls = members(ids), controlsIndex = index, entries = emptyList())

    private val cases =
        listOf(
            Case("no directory was received", known(9, "abn"), emptyList(), false),
            Case(
                "two older directories do not list a member that joined later",
                known(9, "abn"),
                listOf(directory(1, "abc"), directory(1, "abc")),
                false,
            ),
            Case("a newer directory does not list it", known(9, "abn"), listOf(directory(12, "abc")), true),
            Case("a newer directory lists it", known(9, "abn"), listOf(directory(12, "abn")), false),
            Case("its own log says that it was removed", known(9, "abc", retired = listOf(MemberId("n"))), emptyList(), true),
            Case(
                "its own log says so, but the change is not confirmed",
                known(9, "abc", retired = listOf(MemberId("n"))),
                emptyList(),
                isRemoved = false,
                isSettled = false,
            ),
            Case("a learner that was removed", known(9, "abc", learners = "n"), listOf(directory(12, "abc")), true),
            Case("a process that was never a member", known(0, ""), listOf(directory(12, "abc")), false),
        )

    @Test
    fun `a member counts as removed only by a newer directory or its own confirmed log`() =
        cases.forEach { assertEquals(it.isRemoved, isRemoved(MemberId("n"), it.known, it.isSettled, it.directory), it.name) }
}
