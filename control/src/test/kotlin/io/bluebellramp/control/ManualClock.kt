package io.bluebellramp.control

import io.bluebellramp.core.Clock
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** A clock that only the test advances. */
internal class ManualClock(
    var elapsed: Duration = Duration.ZERO,
    private val epoch: Instant = Instant.parse("2026-12-04T05:00:00Z"),
) : Clock {
    override fun monotonic() = elapsed

    override fun wall(): Instant = epoch + elapsed.toJavaDuration()
}
