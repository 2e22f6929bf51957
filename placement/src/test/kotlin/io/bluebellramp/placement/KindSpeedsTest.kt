package io.bluebellramp.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

class KindSpeedsTest {
    private val speeds = KindSpeeds<Int>()

    private fun report(
        kind: String,
        agents: IntRange,
        slowness: Double,
    ) {
        agents.forEach { speeds.reported(it, kind, slowness) }
        speeds.update()
    }

    @Nested
    inner class Kinds {
        @Test
        fun `kinds of clearly different speed differ`() {
            report("a", 1..4, slowness = 1.43)
            report("b", 5..8, slowness = 0.59)
            assertEquals(mapOf("a" to 1.43, "b" to 0.59), speeds.slowness)
            assertTrue(speeds.differ)
        }

        @Test
        fun `kinds of similar speed do not differ`() {
            report("a", 1..4, slowness = 1.0)
            report("b", 5..8, slowness = 0.77)
            assertFalse(speeds.differ)
        }

        @Test
        fun `agents of an older build name no kind`() {
            report("", 1..4, slowness = 1.43)
            report("", 5..8, slowness = 0.59)
            assertFalse(speeds.differ)
        }
    }

    @Nested
    inner class Faults {
        @Test
        fun `slow individuals are no kind of their own`() {
            report("a", 1..4, slowness = 1.0)
            report("b", 5..8, slowness = 1.0)
            report("b", 5..5, slowness = 8.0)
            report("c", 9..10, slowness = 8.0)
            assertFalse(speeds.differ)
        }

        @Test
        fun `a restarted agent does not change the speed of its kind`() {
            report("a", 1..4, slowness = 1.43)
            report("b", 5..8, slowness = 0.59)
            speeds.gone(5)
            report("b", 5..5, slowness = 1.0)
            assertEquals(0.59, speeds.slowness["b"])
        }

        @Test
        fun `lost agents are forgotten`() {
            report("a", 1..4, slowness = 1.43)
            report("b", 5..8, slowness = 0.59)
            (5..8).forEach(speeds::gone)
            speeds.update()
            assertEquals(setOf("a"), speeds.slowness.keys)
            assertFalse(speeds.differ)
        }
    }
}
