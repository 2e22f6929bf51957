package io.bluebellramp.jobs.node

import io.bluebellramp.core.Clock
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.toKotlinDuration

/**
 * Notices that the process stood still, by its own timer or because its VM was suspended. The steady clock does not count a suspension,
 * so the time of day is compared with it; a step of the time of day looks the same. It counts from the first check: a process that starts
 * is short of processor time and has no links yet.
 */
internal class PauseDetector(
    private val clock: Clock,
    private val bound: Duration = BOUND,
) {
    private var last: Pair<Duration, Instant>? = null

    /** Returns how long the process stood still since the last call if that exceeds the bound, or null. Call it every few milliseconds. */
    fun check(): Duration? {
        val steadyNow = clock.monotonic()
        val wallNow = clock.wall()
        val (steady, wall) = last ?: (steadyNow to wallNow)
        last = steadyNow to wallNow
        val gap = steadyNow - steady
        val wallGap =
            java.time.Duration
                .between(wall, wallNow)
                .toKotlinDuration()
        val pause = maxOf(gap, wallGap)
        return pause.takeIf { it > bound }
    }

    private companion object {
        /** Below the silence after which the other side takes a link for lost, above a pause of the garbage collector. */
        val BOUND = 400.milliseconds
    }
}
