package io.bluebellramp.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ShortagePolicyTest {
    private val policy = ShortagePolicy()
    private val now = 10.seconds

    private fun waiting(
        job: String,
        priority: Int,
        slack: Duration = 100.milliseconds,
        cpuMicros: Long = 1_000_000,
        hasStarted: Boolean = false,
        isHeld: Boolean = true,
    ) = WaitingJob(job, priority, slack, cpuMicros, hasStarted, isHeld)

    private fun order(vararg jobs: WaitingJob<String>) = policy.inPlacementOrder(jobs.toList()).map { it.job }

    @Nested
    inner class Order {
        @Test
        fun `jobs of one priority keep the order of their arrival`() =
            assertEquals(
                listOf("first", "second"),
                order(waiting("first", 1, 800.milliseconds), waiting("second", 1, 10.milliseconds)),
            )

        @Test
        fun `the more urgent goes first, then what has started, then the least slack, then the smaller`() =
            assertEquals(
                listOf("urgent", "started", "short", "small", "large"),
                order(
                    waiting("large", 1, cpuMicros = 9_000_000),
                    waiting("small", 1),
                    waiting("short", 1, slack = 20.milliseconds),
                    waiting("started", 1, slack = 300.milliseconds, hasStarted = true),
                    waiting("urgent", 0, slack = 300.milliseconds),
                ),
            )

        @Test
        fun `a lasting burst of urgent jobs leaves each lower priority a share of the places`() {
            val jobs = (0..2).flatMap { priority -> List(100) { waiting("$priority", priority) } }
            val first = policy.inPlacementOrder(jobs).take(96).map { it.job }
            assertEquals(mapOf("0" to 84, "1" to 6, "2" to 6), first.groupingBy { it }.eachCount())
        }
    }

    @Nested
    inner class Retries {
        private fun retries(
            priority: Int,
            excess: Duration = 400.milliseconds,
        ) = List(200) { policy.retryAfter(excess, priority, now) }

        @Test
        fun `while priorities compete, callers return spread over time, the more urgent earlier`() {
            policy.admitted(0, 1_000_000, now)
            policy.admitted(2, 1_000_000, now)
            val urgent = retries(priority = 0)
            val long = retries(priority = 2)
            assertTrue(urgent.max() <= 900.milliseconds && urgent.min() >= 400.milliseconds)
            assertTrue(long.max() <= 1900.milliseconds && long.min() >= 400.milliseconds)
            assertTrue(long.toSet().size > 100 && long.max() > 1500.milliseconds)
            assertTrue(retries(priority = 2, excess = 60.seconds).max() <= 3.seconds)
        }

        @Test
        fun `with one priority callers return once the excess has drained`() {
            policy.admitted(0, 1_000_000, now)
            assertEquals(setOf(400.milliseconds), retries(priority = 0).toSet())
        }
    }

    @Nested
    inner class TurningAway {
        private val job = waiting("long", 2, slack = 100.milliseconds)
        private val wait = 70.milliseconds

        private fun admitUrgentAndLong() {
            policy.admitted(0, 1_000_000, now)
            policy.admitted(2, 1_000_000, now)
        }

        @Test
        fun `a held job that would wait behind more urgent work for longer than its slack is turned away`() {
            admitUrgentAndLong()
            assertTrue(policy.turnsAway(job, wait, now))
            assertFalse(policy.turnsAway(waiting("urgent", 0), wait, now), "nothing goes before it")
            assertFalse(policy.turnsAway(job, Duration.ZERO, now), "there is room")
        }

        @Test
        fun `a job that may have started or is at an agent is not turned away`() {
            admitUrgentAndLong()
            assertFalse(policy.turnsAway(job.copy(hasStarted = true), wait, now))
            assertFalse(policy.turnsAway(job.copy(isHeld = false), wait, now))
        }

        @Test
        fun `nothing is turned away early while all jobs have one priority`() {
            policy.admitted(2, 1_000_000, now)
            assertFalse(policy.turnsAway(job, 900.milliseconds, now))
            assertEquals(wait, policy.expectedWait(wait, 2, now))
        }

        @Test
        fun `once a burst of urgent work is over, the expected wait is that of the tasks there`() {
            admitUrgentAndLong()
            assertEquals(140.milliseconds, policy.expectedWait(wait, 2, now))
            val later = now + 30.seconds
            policy.admitted(2, 1_000_000, later)
            assertFalse(policy.isContended(later))
            assertFalse(policy.turnsAway(job, wait, later))
        }
    }
}
