package io.bluebellramp.replication

import io.bluebellramp.core.MemberId

/** Tells whether [granted] holds a majority of each of [sets]. */
internal fun hasMajority(
    sets: List<Set<MemberId>>,
    granted: Set<MemberId>,
): Boolean = sets.isNotEmpty() && sets.all { set -> set.count { it in granted } > set.size / 2 }

/** Returns the highest value that a majority of each of [sets] has reached, or null if there is none. */
internal fun <T : Comparable<T>> majorityValue(
    sets: List<Set<MemberId>>,
    value: (MemberId) -> T?,
): T? {
    val reached =
        sets.map { set ->
            val values = set.mapNotNull(value).sortedDescending()
            values.getOrNull(set.size / 2) ?: return null
        }
    return reached.minOrNull()
}
