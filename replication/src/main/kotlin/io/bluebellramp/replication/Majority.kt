package io.bluebellramp.replication

import io.bluebellramp.core.MemberId

/** Returns true if [members] contains a majority of each of [voterSets]. */
internal fun hasMajority(
    voterSets: List<Set<MemberId>>,
    members: Set<MemberId>,
): Boolean = voterSets.isNotEmpty() && voterSets.all { set -> set.count { it in members } > set.size / 2 }

/** Returns the highest value that a majority of each of [voterSets] has majorityValues, or null if some set has no such value. */
internal fun <T : Comparable<T>> majorityValue(
    voterSets: List<Set<MemberId>>,
    value: (MemberId) -> T?,
): T? {
    val majorityValues =
        voterSets.map { set ->
            val values = set.mapNotNull(value).sortedDescending()
            values.getOrNull(set.size / 2) ?: return null
        }
    return majorityValues.minOrNull()
}
