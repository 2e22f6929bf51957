package io.bluebellramp.entry

import io.bluebellramp.placement.CreditedTarget

/**
 * The targets that a placement could choose from, for its log line.
 *
 * @property shown up to [SHOWN] of them that have the fewest running tasks
 * @property count how many there were
 */
internal class Candidates private constructor(
    val shown: List<CreditedTarget>,
    val count: Int,
) {
    companion object {
        /** Most candidates in one log line. */
        const val SHOWN = 8

        /** Chooses what is shown of [targets]. */
        fun of(targets: List<CreditedTarget>): Candidates {
            val fewest = targets.minOfOrNull { it.running }
            val shown =
                if (targets.size <= SHOWN) {
                    targets
                } else {
                    targets
                        .asSequence()
                        .filter { it.running == fewest }
                        .take(SHOWN)
                        .toList()
                }
            return Candidates(shown = shown, count = targets.size)
        }
    }
}
