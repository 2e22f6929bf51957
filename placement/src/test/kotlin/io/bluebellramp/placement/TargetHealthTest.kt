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
    private val health = TargetHealth().also { health -> targets.forEach(health::joined) }
    private val bad = targets.first()

    private fun fail(
        target: TargetId,
        times: Int,
        now: Duration = 0.seconds,
    ) = repeat(times) { health.ended(target, failed = true, now = now) }

    @Nested
    inner class `a target that fails` {
        @Test
        fun `is ejected by consecutive failures only`() {
            fail(bad, times = 4)
            health.ended(bad, failed = false, now = 0.seconds)
            fail(bad, times = 4)
            assertTrue(health.mayUse(bad, 0.seconds))
            fail(bad, times = 1)
            assertFalse(health.mayUse(bad, 0.seconds))
        }

        @Test
        fun `gets one task at a time on trial`() {
            fail(bad, times = 5)
            assertTrue(health.mayUse(bad, 1.seconds))
            health.used(bad)
            assertFalse(health.mayUse(bad, 1.seconds))
        }

        @Test
        fun `is tried less often after each failed trial`() {
            fail(bad, times = 5)
            val trials = mutableListOf<Long>()
            for (second in 0L..60L) {
                if (!health.mayUse(bad, second.seconds)) continue
                trials += second
                health.used(bad)
                health.ended(bad, failed = true, now = second.seconds)
            }
            assertEquals(listOf(1L, 3L, 7L, 15L, 31L), trials)
        }

        @Test
        fun `returns when a trial succeeds`() {
            fail(bad, times = 5)
            health.used(bad)
            health.ended(bad, failed = false, now = 2.seconds)
            assertEquals(emptySet(), health.ejected)
        }

        @Test
        fun `stays ejected when its connection breaks`() {
            fail(bad, times = 5)
            health.left(bad)
            health.joined(bad)
            assertFalse(health.mayUse(bad, 0.seconds))
        }
    }

    @Nested
    inner class `when all targets fail` {
        @Test
        fun `no more than a third is ejected`() {
            targets.forEach { fail(it, times = 20) }
            assertEquals(3, health.ejected.size)
        }
    }

    @Nested
    inner class `one worker that fails everything at once` {
        @Test
        fun `loses under 2 percent of the tasks of a minute`() {
            val pool = SpreadingPool(health = health)
            targets.forEach { pool.grant(it, ZoneId("z"), credits = 8) }
            val lost = runMinute(pool)
            assertTrue(lost.failed < lost.all * 0.02, "$lost")
        }

        /** Each task of a good target takes 200 ms; those of [bad] fail after 10 ms. Half of the slots are asked for. */
        private fun runMinute(pool: CreditPool): Loss {
            val ends = java.util.TreeMap<Duration, MutableList<TargetId>>()
            var now = 0.milliseconds
            var loss = Loss(failed = 0, all = 0)
            while (now < 1.minutes) {
                ends.headMap(now, true).toList().forEach { (at, ended) ->
                    ended.forEach { target ->
                        pool.ended(target, ran = 200.milliseconds, failed = target == bad, now = at)
                        pool.grant(target, ZoneId("z"), credits = 1)
                    }
                    ends.remove(at)
                }
                repeat(2) {
                    val target = pool.spend(now)?.target ?: return@repeat
                    loss = Loss(failed = loss.failed + if (target == bad) 1 else 0, all = loss.all + 1)
                    ends.getOrPut(now + if (target == bad) 10.milliseconds else 200.milliseconds) { mutableListOf() } += target
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
