package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LeastLoadedPoolTest {
    private val model = RunTimeModel()
    private val pool = LeastLoadedPool(model)
    private val a = TargetId("a")
    private val b = TargetId("b")
    private val c = TargetId("c")
    private val north = ZoneId("north")
    private val south = ZoneId("south")

    private fun spend(count: Int) = List(count) { pool.spend(0.seconds)?.target }

    @Nested
    inner class `the tasks of a job` {
        @Test
        fun `are spread over targets and zones`() {
            pool.grant(a, north, credits = 4)
            pool.grant(b, north, credits = 4)
            pool.grant(c, south, credits = 4)
            assertEquals(listOf(a, c, b), spend(3))
            assertEquals(mapOf(a to 2, b to 2, c to 2), spend(6).groupingBy { it!! }.eachCount())
        }

        @Test
        fun `never exceed the credits`() {
            pool.grant(a, north, credits = 2)
            assertEquals(listOf(a, a, null), spend(3))
        }
    }

    @Nested
    inner class `credits` {
        @Test
        fun `that were spent cannot be withdrawn`() {
            pool.grant(a, north, credits = 3)
            spend(2)
            assertEquals(1, pool.withdraw(a, 3))
            assertNull(pool.spend(0.seconds))
        }

        @Test
        fun `are void once their connection is lost`() {
            pool.grant(a, north, credits = 3)
            pool.removeTarget(a)
            assertNull(pool.spend(0.seconds))
            assertEquals(emptyList(), pool.unspent())
        }
    }

    @Nested
    inner class `a straggler` {
        private fun makeTargetAStraggler() {
            repeat(30) { listOf(a to 1000, b to 100, c to 100).forEach { (target, millis) -> model.observe(target, millis.milliseconds) } }
            pool.grant(a, north, credits = 500)
        }

        @Test
        fun `gets one task at a time`() {
            makeTargetAStraggler()
            assertEquals(listOf(a, null, null), listOf(0.seconds, 9.seconds, 99.seconds).map { pool.spend(it)?.target })
        }

        @Test
        fun `recovers after three good trials`() {
            makeTargetAStraggler()
            for (second in listOf(0, 10, 20)) {
                assertEquals(listOf(a, null), List(2) { pool.spend(second.seconds)?.target })
                pool.taskEnded(a, ran = 100.milliseconds, failed = false, now = second.seconds)
            }
            assertEquals(listOf(a, a, a), List(3) { pool.spend(30.seconds)?.target })
        }
    }
}
