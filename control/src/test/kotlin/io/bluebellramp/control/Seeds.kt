package io.bluebellramp.control

import kotlin.random.Random

private const val DEFAULT_SEED_COUNT = 1000

/** Runs [run] with each seed and names a failing one. Property `bluebellramp.seed` selects one seed, `bluebellramp.seeds` their number. */
internal fun forEachSeed(run: (Random) -> Unit) {
    val singleSeed = System.getProperty("bluebellramp.seed").orEmpty()
    val count =
        System
            .getProperty("bluebellramp.seeds")
            .orEmpty()
            .ifEmpty { "$DEFAULT_SEED_COUNT" }
            .toInt()
    val seeds = if (singleSeed.isEmpty()) 0L until count else singleSeed.toLong()..singleSeed.toLong()
    for (seed in seeds) {
        try {
            run(Random(seed))
        } catch (e: Throwable) {
            throw AssertionError("seed $seed: ${e.message}", e)
        }
    }
    println("seeds $seeds")
}
