package io.bluebellramp.core

import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds

/**
 * A source of time that tests can replace by one that they advance themselves.
 *
 * Use [monotonic] for ages and timeouts. Use [wall] only for times shown to people and for the time in a submission id.
 */
interface Clock {
    /** Returns the time since an arbitrary fixed point of this process. It never decreases. */
    fun monotonic(): Duration

    /** Returns the time of day. It may jump forward or back when the machine's clock is set. */
    fun wall(): Instant
}

/** The clock of the operating system. */
object SystemClock : Clock {
    override fun monotonic(): Duration = System.nanoTime().nanoseconds

    override fun wall(): Instant = Instant.now()
}
