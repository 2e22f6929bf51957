package io.bluebellramp.jobs.node

import io.bluebellramp.jobs.FakeClock
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PauseDetectorTest {
    private class Case(
        val name: String,
        val expected: Duration?,
        val act: (FakeClock, PauseDetector) -> Unit,
    )

    private val cases =
        listOf(
            Case("a slow start is not a pause", null) { clock, _ -> clock.advance(2.seconds) },
            Case("a check every few milliseconds detects no pause", null) { clock, detector ->
                repeat(100) {
                    detector.check()
                    clock.advance(10.milliseconds)
                }
            },
            Case("a paused process", 600.milliseconds) { clock, detector ->
                detector.check()
                clock.advance(600.milliseconds)
            },
            Case("a pause as long as the threshold", null) { clock, detector ->
                detector.check()
                clock.advance(400.milliseconds)
            },
            Case("a suspended VM whose monotonic clock stopped as well", 5.seconds) { clock, detector ->
                detector.check()
                clock.advanceWallClock(5.seconds)
            },
            Case("a pause is reported once", null) { clock, detector ->
                detector.check()
                clock.advance(2.seconds)
                detector.check()
                clock.advance(10.milliseconds)
            },
        )

    @TestFactory
    fun `detects pauses`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val clock = FakeClock()
                val detector = PauseDetector(clock)
                case.act(clock, detector)
                assertEquals(case.expected, detector.check())
            }
        }
}
