package io.bluebellramp.control

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class ClaimGroupTest {
    private fun Random.claim(): StoredClaim {
        val digest = ClaimDigest(nextLong(), nextLong(), nextLong(), nextLong())
        val sequence = if (nextInt(10) == 0) nextLong(Long.MAX_VALUE) else nextLong(1000)
        val claim = StoredClaim(digest, holder("e${nextInt(4)}"), sequence, isTakenOver = nextBoolean())
        return if (nextInt(10) == 0) claim.merge(StoredClaim(digest, holder("rival"), 1, isTakenOver = false)) else claim
    }

    private fun StoredClaim.fields() = all().map { listOf(it.digest, it.holder, it.sequence, it.isTakenOver) }

    @Nested
    inner class `A group of claims` {
        @Test
        fun `holds what a map would hold after any puts, removals and trims`() =
            forEachSeed { random ->
                val keys = List(random.nextInt(1, 300)) { ClaimKey(high = random.nextLong(4), low = random.nextLong(100)) }.distinct()
                val expected = HashMap<ClaimKey, StoredClaim>()
                val group = ClaimGroup()
                repeat(500) {
                    val key = keys.random(random)
                    when (random.nextInt(20)) {
                        in 0..11 -> random.claim().let { assertEquals(expected.put(key, it) == null, group.put(key, it)) }
                        19 -> group.trim()
                        else -> assertEquals(expected.remove(key) != null, group.remove(key))
                    }
                    assertEquals(expected.size, group.size)
                }
                keys.forEach { assertEquals(expected[it]?.fields(), group[it]?.fields()) }
                assertEquals(expected.mapValues { it.value.fields() }, group.claims().associate { it.first to it.second.fields() })
            }
    }
}
