package io.bluebellramp.control

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Claims by submission id, in buckets by the timestamp inside the id, so that a whole bucket expires at once. */
internal class ClaimStore {
    private val buckets = HashMap<Long, ClaimBucket>()
    private var firstKeptBucket = Long.MIN_VALUE

    /** Number of claims. */
    var size = 0
        private set

    /** Returns the claim on [key], or null. */
    operator fun get(key: ClaimKey): StoredClaim? = buckets[key.bucket()]?.get(key)

    /** Stores [claim] on [key]. */
    operator fun set(
        key: ClaimKey,
        claim: StoredClaim,
    ) {
        if (buckets.getOrPut(key.bucket()) { ClaimBucket() }.put(key, claim)) size++
    }

    /** Removes the claim on [key]. */
    fun remove(key: ClaimKey) {
        if (buckets[key.bucket()]?.remove(key) == true) size--
    }

    /** Removes all buckets that end before [time]. */
    fun forgetBefore(time: Instant) {
        val first = bucketOf(time)
        if (first <= firstKeptBucket) return
        firstKeptBucket = first
        buckets.keys.removeIf { it < first }
        size = buckets.values.sumOf { it.size }
        val newest = buckets.keys.maxOrNull() ?: return
        buckets.forEach { (bucket, claims) -> if (bucket < newest - UNTRIMMED_BUCKETS) claims.trim() }
    }

    /** Returns whole buckets of claims, starting at [fromBucket], until the page has [MIN_PAGE_CLAIMS]. */
    fun page(fromBucket: Long): ClaimPage {
        val claims = ArrayList<Pair<ClaimKey, StoredClaim>>()
        for (bucket in buckets.keys.filter { it >= fromBucket }.sorted()) {
            if (claims.size >= MIN_PAGE_CLAIMS) return ClaimPage(claims, next = bucket)
            claims += buckets.getValue(bucket).claims()
        }
        return ClaimPage(claims, next = null)
    }

    companion object {
        private const val TIMESTAMP_SHIFT_BITS = 16

        /** The newest buckets still grow; older ones are trimmed. */
        private const val UNTRIMMED_BUCKETS = 10

        /** A page ends with the bucket that reaches this many claims. */
        private const val MIN_PAGE_CLAIMS = 2_000

        /** Time span of the ids in one bucket, which is copied as a whole: 2,112 claims at 1,056 per second. */
        val BUCKET_SPAN: Duration = 2.seconds

        /** Returns the bucket of ids created at [time]. */
        fun bucketOf(time: Instant): Long = Math.floorDiv(time.toEpochMilli(), BUCKET_SPAN.inWholeMilliseconds)

        private fun ClaimKey.bucket(): Long = (high ushr TIMESTAMP_SHIFT_BITS) / BUCKET_SPAN.inWholeMilliseconds
    }
}

/**
 * A page of claims in the order of their buckets.
 *
 * @property next the first bucket of the next page, or null if this is the last page
 */
internal class ClaimPage(
    val claims: List<Pair<ClaimKey, StoredClaim>>,
    val next: Long?,
)
