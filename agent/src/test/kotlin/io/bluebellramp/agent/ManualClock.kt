package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** A clock that tests advance. [onRead] runs before each reading of the monotonic time, to simulate a process that freezes there. */
internal class ManualClock(
    private val onRead: ManualClock.() -> Unit = {},
) : Clock {
    var now = Duration.ZERO

    override fun monotonic(): Duration {
        onRead()
        return now
    }

    override fun wall(): Instant = BASE.plus(now.toJavaDuration())

    companion object {
        val BASE: Instant = Instant.ofEpochMilli(1_800_000_000_000)
    }
}
