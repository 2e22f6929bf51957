package io.bluebellramp.jobs.node

import io.bluebellramp.core.Clock
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Detects that the process was paused or its VM was suspended. The monotonic clock may not advance during a suspension, so the wall clock
 * is checked as well; a step of the wall clock looks like a pause. Detection starts with the first check, because a starting process is
 * short of processor time and has no links yet.
 */
internal class PauseDetector(
    private val clock: Clock,
    private val threshold: Duration = THRESHOLD,
) {
    private var lastMonotonic = Duration.ZERO
    private var lastWall: Instant? = null

    /** Returns the time since the last call if it exceeds the threshold, or null. Must be called every few milliseconds. */
    fun check(): Duration? {
        val monotonicNow = clock.monotonic()
        val wallNow = clock.wall()
        val previousWall = lastWall ?: wallNow
        val monotonicGap = if (lastWall == null) Duration.ZERO else monotonicNow - lastMonotonic
        val wallGap = (wallNow.epochSecond - previousWall.epochSecond).seconds + (wallNow.nano - previousWall.nano).nanoseconds
        lastMonotonic = monotonicNow
        lastWall = wallNow
        val pause = maxOf(monotonicGap, wallGap)
        return pause.takeIf { it > threshold }
    }

    private companion object {
        /** Shorter than [LinkTiming.LINK_TIMEOUT], longer than a pause of the garbage collector. */
        val THRESHOLD = 400.milliseconds
    }
}
