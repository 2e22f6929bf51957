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
            Case("a start that takes long is no pause", null) { clock, _ -> clock.pass(2.seconds) },
            Case("a look every few milliseconds finds nothing", null) { clock, detector ->
                repeat(100) {
                    detector.check()
                    clock.pass(10.milliseconds)
                }
            },
            Case("a process that stood still", 600.milliseconds) { clock, detector ->
                detector.check()
                clock.pass(600.milliseconds)
            },
            Case("a pause at the bound", null) { clock, detector ->
                detector.check()
                clock.pass(400.milliseconds)
            },
            Case("a suspended VM, whose steady clock stood too", 5.seconds) { clock, detector ->
                detector.check()
                clock.suspend(5.seconds)
            },
            Case("one pause is told once", null) { clock, detector ->
                detector.check()
                clock.pass(2.seconds)
                detector.check()
                clock.pass(10.milliseconds)
            },
        )

    @TestFactory
    fun `tells pauses`() =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val clock = FakeClock()
                val detector = PauseDetector(clock)
                case.act(clock, detector)
                assertEquals(case.expected, detector.check())
            }
        }
}
