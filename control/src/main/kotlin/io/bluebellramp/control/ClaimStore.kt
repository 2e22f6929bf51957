package io.bluebellramp.control

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Claims by submission, grouped by the time inside the id, so that a whole group is forgotten at once. */
internal class ClaimStore {
    private val groups = HashMap<Long, ClaimGroup>()
    private var firstGroup = Long.MIN_VALUE

    /** Number of claims. */
    var size = 0
        private set

    /** Returns the claim on [key]. */
    operator fun get(key: ClaimKey): StoredClaim? = groups[key.group()]?.get(key)

    /** Holds [claim] on [key]. */
    operator fun set(
        key: ClaimKey,
        claim: StoredClaim,
    ) {
        if (groups.getOrPut(key.group()) { ClaimGroup() }.put(key, claim)) size++
    }

    /** Forgets the claim on [key]. */
    fun remove(key: ClaimKey) {
        if (groups[key.group()]?.remove(key) == true) size--
    }

    /** Forgets all groups that end before [time]. */
    fun forgetBefore(time: Instant) {
        val first = groupOf(time)
        if (first <= firstGroup) return
        firstGroup = first
        groups.keys.removeIf { it < first }
        size = groups.values.sumOf { it.size }
        val newest = groups.keys.maxOrNull() ?: return
        groups.forEach { (group, claims) -> if (group < newest - GROWING_GROUPS) claims.trim() }
    }

    /** Returns the claims of the groups from [from] on, as many whole groups as it takes to have [PAGE_CLAIMS]. */
    fun page(from: Long): ClaimPage {
        val claims = ArrayList<Pair<ClaimKey, StoredClaim>>()
        for (group in groups.keys.filter { it >= from }.sorted()) {
            if (claims.size >= PAGE_CLAIMS) return ClaimPage(claims, next = group)
            claims += groups.getValue(group).claims()
        }
        return ClaimPage(claims, next = null)
    }

    companion object {
        private const val TIME_SHIFT = 16

        /** The newest groups still grow; older ones keep no room for more claims. */
        private const val GROWING_GROUPS = 10

        /** A page ends with the group that reaches this many claims. */
        private const val PAGE_CLAIMS = 2_000

        /** Span of the times inside the ids of one group, which is copied whole: 2,112 claims at 1,056 a second. */
        val GROUP_SPAN: Duration = 2.seconds

        /** Returns the group that ids made at [time] belong to. */
        fun groupOf(time: Instant): Long = Math.floorDiv(time.toEpochMilli(), GROUP_SPAN.inWholeMilliseconds)

        private fun ClaimKey.group(): Long = (high ushr TIME_SHIFT) / GROUP_SPAN.inWholeMilliseconds
    }
}

/**
 * Some claims in the order of their groups.
 *
 * @property next the group that comes after them, or null if there is none
 */
internal class ClaimPage(
    val claims: List<Pair<ClaimKey, StoredClaim>>,
    val next: Long?,
)
