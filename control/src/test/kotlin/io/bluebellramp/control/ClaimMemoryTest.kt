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
    fun `A claim takes less than 100 bytes of a member`() {
        val clock = ManualClock()
        val table = ClaimTable(MemberId("m1"), clock, LIFE, isFounder = true).apply { join(1, members("m1", "m2", "m3")) }
        val before = usedBytes()
        repeat(CLAIMS / BATCH) {
            val claims = List(BATCH) { Claim(SubmissionId.create(clock.wall(), random.nextLong(), random.nextLong()), digest('a')) }
            table.claim(ClaimRequest(1, holder("a"), claims))
        }
        val bytes = (usedBytes() - before) / CLAIMS
        println("$bytes bytes a claim at $CLAIMS claims")
        assertEquals(CLAIMS, table.size)
        assertTrue(bytes < 100, "$bytes bytes")
    }

    private companion object {
        const val CLAIMS = 700_000
        const val BATCH = 1_000
    }
}
