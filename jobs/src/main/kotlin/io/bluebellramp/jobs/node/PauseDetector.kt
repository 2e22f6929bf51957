package io.bluebellramp.jobs.node

import io.bluebellramp.core.Clock
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.toKotlinDuration

/**
 * Notices that the process stood still, by its own timer or because its VM was suspended. The steady clock does not count a suspension,
 * so the time of day is compared with it; a step of the time of day looks the same.
 */
internal class PauseDetector(
    private val clock: Clock,
    private val bound: Duration = BOUND,
) {
    private var steady: Duration = clock.monotonic()
    private var wall: Instant = clock.wall()

    /** Returns how long the process stood still since the last call if that exceeds the bound, or null. Call it every few milliseconds. */
    fun check(): Duration? {
        val steadyNow = clock.monotonic()
        val wallNow = clock.wall()
        val gap = steadyNow - steady
        val wallGap =
            java.time.Duration
                .between(wall, wallNow)
                .toKotlinDuration()
        steady = steadyNow
        wall = wallNow
        val pause = maxOf(gap, wallGap)
        return pause.takeIf { it > bound }
    }

    private companion object {
        /** Below the silence after which the other side takes a link for lost, above a pause of the garbage collector. */
        val BOUND = 400.milliseconds
    }
}
