package io.bluebellramp.core

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * Tells the time to a state machine.
 *
 * Use [monotonic] for ages and timeouts and [wall] only for what people read and for the time inside a submission id.
 * Tests pass a clock that they advance by hand.
 */
interface Clock {
    /** Time since an arbitrary fixed point of this process. It never goes back. */
    fun monotonic(): Duration

    /** The time of day. It may jump. */
    fun wall(): Instant
}

/** The clock of the machine. */
object SystemClock : Clock {
    override fun monotonic(): Duration = System.nanoTime().nanoseconds

    override fun wall(): Instant = Instant.now()
}
