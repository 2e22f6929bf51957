package io.bluebellramp.control.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

class MemberIdentityTest {
    @TempDir
    lateinit var folder: Path
    private val seeds = listOf("10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1").map(::Address)

    private fun identity(
        self: Address = seeds[0],
        isFounding: Boolean = true,
    ) = MemberIdentity.loadOrCreate(folder, self, seeds, isFounding)

    @Test
    fun `founders know each other's ids from the seeds alone`() {
        val here = identity()
        val there = MemberIdentity.loadOrCreate(folder.resolve("other"), seeds[2], seeds, isFounding = true)
        assertEquals(here.founders, there.founders)
        assertEquals(listOf("c-10.0.0.1", "c-10.0.0.2", "c-10.0.0.3"), here.founders.map { it.member.value })
        assertEquals(MemberId("c-10.0.0.3"), there.member)
    }

    @Test
    fun `the identity in a folder stays the same, even if the settings change`() {
        val first = identity()
        assertEquals(first, identity(isFounding = false))
        assertEquals(first, MemberIdentity.loadOrCreate(folder, seeds[0], listOf(Address("10.9.9.9:1")), isFounding = true))
    }

    @Test
    fun `a member with an empty folder joins under a new unique id`() {
        val first = identity(isFounding = false)
        assertTrue(first.founders.isEmpty())
        Files.delete(folder.resolve("identity"))
        assertNotEquals(first.member, identity(isFounding = false).member)
    }

    @Test
    fun `a process that is not among the seeds joins`() {
        assertTrue(identity(self = Address("10.0.0.9:1")).founders.isEmpty())
    }
}
