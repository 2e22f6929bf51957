package io.bluebellramp.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class KindSpeedsTest {
    private val speeds = KindSpeeds<Int>()

    private fun report(
        kind: String,
        agents: IntRange,
        slowness: Double,
    ) = agents.forEach { speeds.reported(it, kind, slowness) }

    private fun differ() = speeds.apply { update() }.differ

    @Nested
    inner class Kinds {
        @Test
        fun `only kinds of clearly different speed differ`() {
            report("a", 1..4, slowness = 1.0)
            report("b", 5..8, slowness = 0.77)
            assertEquals(false, differ())
            report("a", 1..4, slowness = 1.43)
            assertEquals(true, differ())
        }

        @Test
        fun `agents that name no kind do not count`() {
            report("a", 1..4, slowness = 1.43)
            report("", 5..8, slowness = 0.59)
            assertEquals(false, differ())
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `slow individuals, restarted and lost agents do not change the speed of their kind`() {
            report("a", 1..4, slowness = 1.43)
            report("b", 5..8, slowness = 0.59)
            report("b", 5..5, slowness = 8.0)
            speeds.gone(6)
            assertEquals(true, differ())
            assertEquals(0.59, speeds.slowness["b"])
            (5..8).forEach(speeds::gone)
            assertEquals(false, differ())
        }
    }
}
