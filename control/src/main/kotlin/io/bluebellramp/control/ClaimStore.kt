package io.bluebellramp.control

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Claims by submission, grouped by the time inside the id, so that a whole group is forgotten at once. */
internal class ClaimStore {
    private val groups = HashMap<Long, HashMap<ClaimKey, StoredClaim>>()

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
        if (groups.getOrPut(key.group()) { HashMap() }.put(key, claim) == null) size++
    }

    /** Forgets the claim on [key]. */
    fun remove(key: ClaimKey) {
        if (groups[key.group()]?.remove(key) != null) size--
    }

    /** Forgets all groups that end before [time]. */
    fun forgetBefore(time: Instant) {
        val first = groupOf(time)
        groups.keys.removeIf { it < first }
        size = groups.values.sumOf { it.size }
    }

    /** Returns the claims of group [group], or all claims if it is null. */
    fun claims(group: Long?): List<Pair<ClaimKey, StoredClaim>> {
        val chosen = if (group == null) groups.values else listOfNotNull(groups[group])
        return chosen.flatMap { it.entries }.map { it.key to it.value }
    }

    companion object {
        private const val TIME_SHIFT = 16

        /** Span of the times inside the ids of one group. */
        val GROUP_SPAN: Duration = 10.seconds

        /** Returns the group that ids made at [time] belong to. */
        fun groupOf(time: Instant): Long = Math.floorDiv(time.toEpochMilli(), GROUP_SPAN.inWholeMilliseconds)

        private fun ClaimKey.group(): Long = (high ushr TIME_SHIFT) / GROUP_SPAN.inWholeMilliseconds
    }
}
