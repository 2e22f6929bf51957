package io.bluebellramp.control

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Claim
import io.bluebellramp.messages.ClaimRequest
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class ClaimMemoryTest {
    private val random = Random(1)

    private fun usedBytes(): Long {
        repeat(3) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }

    @Test
    fun `A stored claim takes less than 100 bytes of heap`() {
        val clock = ManualClock()
        val table =
            ClaimTable(
                MemberId("m1"),
                clock,
                LEASE_DURATION,
                isFounder = true,
            ).apply { setMembership(1, members("m1", "m2", "m3")) }
        val before = usedBytes()
        repeat(CLAIMS / BATCH_CLAIMS) {
            val claims = List(BATCH_CLAIMS) { Claim(SubmissionId.create(clock.wall(), random.nextLong(), random.nextLong()), digest('a')) }
            table.claim(ClaimRequest(1, holder("a"), claims))
        }
        val bytes = (usedBytes() - before) / CLAIMS
        println("$bytes bytes a claim at $CLAIMS claims")
        assertEquals(CLAIMS, table.size)
        assertTrue(bytes < 100, "$bytes bytes")
    }

    private companion object {
        const val CLAIMS = 700_000
        const val BATCH_CLAIMS = 1_000
    }
}
