package io.bluebellramp.entry

import io.bluebellramp.placement.CreditedTarget

/**
 * The targets from which a placement could choose, for its log line.
 *
 * @property shown all candidates, or if there are more than [MAX_SHOWN], that many of those with the fewest running tasks
 * @property total number of candidates
 */
internal class PlacementCandidates private constructor(
    val shown: List<CreditedTarget>,
    val total: Int,
) {
    companion object {
        /** Largest number of candidates in one log line. */
        const val MAX_SHOWN = 8

        /** Selects the candidates to show from [targets]. */
        fun of(targets: List<CreditedTarget>): PlacementCandidates {
            val fewest = targets.minOfOrNull { it.running }
            val shown =
                if (targets.size <= MAX_SHOWN) {
                    targets
                } else {
                    targets
                        .asSequence()
                        .filter { it.running == fewest }
                        .take(MAX_SHOWN)
                        .toList()
                }
            return PlacementCandidates(shown = shown, total = targets.size)
        }
    }
}
