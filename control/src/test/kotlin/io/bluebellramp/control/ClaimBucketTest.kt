package io.bluebellramp.control

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class ClaimBucketTest {
    private fun Random.claim(): StoredClaim {
        val digest = ClaimDigest(nextLong(), nextLong(), nextLong(), nextLong())
        val sequence = if (nextInt(10) == 0) nextLong(Long.MAX_VALUE) else nextLong(1000)
        val claim = StoredClaim(digest, holder("e${nextInt(4)}"), sequence, isTakenOver = nextBoolean())
        return if (nextInt(10) == 0) claim.merge(StoredClaim(digest, holder("rival"), 1, isTakenOver = false)) else claim
    }

    private fun StoredClaim.fields() = allClaims().map { listOf(it.digest, it.holder, it.sequence, it.isTakenOver) }

    @Nested
    inner class `A claim bucket` {
        @Test
        fun `holds the same claims as a map after any sequence of puts, removals and trims`() =
            forEachSeed { random ->
                val keys = List(random.nextInt(1, 300)) { ClaimKey(high = random.nextLong(4), low = random.nextLong(100)) }.distinct()
                val expected = HashMap<ClaimKey, StoredClaim>()
                val bucket = ClaimBucket()
                repeat(500) {
                    val key = keys.random(random)
                    when (random.nextInt(20)) {
                        in 0..11 -> random.claim().let { assertEquals(expected.put(key, it) == null, bucket.put(key, it)) }
                        19 -> bucket.trim()
                        else -> assertEquals(expected.remove(key) != null, bucket.remove(key))
                    }
                    assertEquals(expected.size, bucket.size)
                }
                keys.forEach { assertEquals(expected[it]?.fields(), bucket[it]?.fields()) }
                assertEquals(expected.mapValues { it.value.fields() }, bucket.claims().associate { it.first to it.second.fields() })
            }
    }
}
