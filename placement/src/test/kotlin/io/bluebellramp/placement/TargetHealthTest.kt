package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class TargetHealthTest {
    private val targets = (0..10).map { TargetId("t$it") }
    private val health = TargetHealth().also { health -> targets.forEach(health::targetJoined) }
    private val badTarget = targets.first()

    private fun fail(
        target: TargetId,
        times: Int,
        now: Duration = 0.seconds,
    ) = repeat(times) { health.taskEnded(target, failed = true, now = now) }

    @Nested
    inner class `a target that fails` {
        @Test
        fun `is ejected only by consecutive failures`() {
            fail(badTarget, times = 4)
            health.taskEnded(badTarget, failed = false, now = 0.seconds)
            fail(badTarget, times = 4)
            assertTrue(health.mayUse(badTarget, 0.seconds))
            fail(badTarget, times = 1)
            assertFalse(health.mayUse(badTarget, 0.seconds))
        }

        @Test
        fun `gets one trial task at a time after the back-off`() {
            fail(badTarget, times = 5)
            assertTrue(health.mayUse(badTarget, 1.seconds))
            health.taskSent(badTarget)
            assertFalse(health.mayUse(badTarget, 1.seconds))
        }

        @Test
        fun `is tried less often after each failed trial`() {
            fail(badTarget, times = 5)
            val trialSeconds = mutableListOf<Long>()
            for (second in 0L..60L) {
                if (!health.mayUse(badTarget, second.seconds)) continue
                trialSeconds += second
                health.taskSent(badTarget)
                health.taskEnded(badTarget, failed = true, now = second.seconds)
            }
            assertEquals(listOf(1L, 3L, 7L, 15L, 31L), trialSeconds)
        }

        @Test
        fun `is restored when a trial succeeds`() {
            fail(badTarget, times = 5)
            health.taskSent(badTarget)
            health.taskEnded(badTarget, failed = false, now = 2.seconds)
            assertEquals(emptySet(), health.ejected)
        }

        @Test
        fun `stays ejected after a reconnect`() {
            fail(badTarget, times = 5)
            health.targetLeft(badTarget)
            health.targetJoined(badTarget)
            assertFalse(health.mayUse(badTarget, 0.seconds))
        }
    }

    @Nested
    inner class `when all targets fail` {
        @Test
        fun `at most a third is ejected`() {
            targets.forEach { fail(it, times = 20) }
            assertEquals(3, health.ejected.size)
        }
    }

    @Nested
    inner class `one target where every task fails quickly` {
        @Test
        fun `causes the loss of under 2 percent of the tasks of a minute`() {
            val pool = LeastLoadedPool(health = health)
            targets.forEach { pool.grant(it, ZoneId("z"), credits = 8) }
            val loss = runMinute(pool)
            assertTrue(loss.failed < loss.all * 0.02, "$loss")
        }

        /** Tasks take 200 ms on a good target and fail after 10 ms on [badTarget]. The load is about half of the slots. */
        private fun runMinute(pool: CreditPool): Loss {
            val endsByTime = java.util.TreeMap<Duration, MutableList<TargetId>>()
            var now = 0.milliseconds
            var loss = Loss(failed = 0, all = 0)
            while (now < 1.minutes) {
                endsByTime.headMap(now, true).toList().forEach { (at, ended) ->
                    ended.forEach { target ->
                        pool.taskEnded(target, ran = 200.milliseconds, failed = target == badTarget, now = at)
                        pool.grant(target, ZoneId("z"), credits = 1)
                    }
                    endsByTime.remove(at)
                }
                repeat(2) {
                    val target = pool.spend(now)?.target ?: return@repeat
                    loss = Loss(failed = loss.failed + if (target == badTarget) 1 else 0, all = loss.all + 1)
                    endsByTime.getOrPut(now + if (target == badTarget) 10.milliseconds else 200.milliseconds) { mutableListOf() } += target
                }
                now += 10.milliseconds
            }
            return loss
        }
    }

    private data class Loss(
        val failed: Int,
        val all: Int,
    )
}
