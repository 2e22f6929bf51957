package io.bluebellramp.control

import kotlin.random.Random

private const val SEEDS = 1000

/** Runs [history] for each seed and names the seed that failed. `bluebellramp.seed` chooses one, `bluebellramp.seeds` their number. */
internal fun forEachSeed(history: (Random) -> Unit) {
    val one = System.getProperty("bluebellramp.seed").orEmpty()
    val count =
        System
            .getProperty("bluebellramp.seeds")
            .orEmpty()
            .ifEmpty { "$SEEDS" }
            .toInt()
    val seeds = if (one.isEmpty()) 0L until count else one.toLong()..one.toLong()
    for (seed in seeds) {
        try {
            history(Random(seed))
        } catch (e: Throwable) {
            throw AssertionError("seed $seed: ${e.message}", e)
        }
    }
    println("seeds $seeds")
}
