package io.bluebellramp.placement

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

class RoomPoliciesTest {
    private fun view(
        agent: String,
        free: Int,
        queued: Long = 0,
        slowness: Double = 1.0,
    ) = RoomView(agent, 32_000, free, 10_000, queued, slowness, Duration.ZERO)

    @Nested
    inner class Spreading {
        private val spreader = TaskSpreader(Random(3))

        private fun shares(views: List<RoomView<String>>) =
            (1..1000).mapNotNull { spreader.choose(views, 3000, 64, 100.milliseconds)?.agent }.groupingBy { it }.eachCount()

        @Test
        fun `tasks go to agents in proportion to their free room`() {
            val shares = shares(listOf(view("a", 30_000), view("b", 10_000)))
            assertTrue(shares.getValue("a") in 680..820, "$shares")
        }

        @Test
        fun `no task waits while another agent has room`() {
            assertEquals(setOf("b"), shares(listOf(view("a", 0, queued = 32_000L * 100), view("b", 4000))).keys)
        }

        @Test
        fun `a much slower agent is left alone while others have room`() {
            assertEquals(setOf("b"), shares(listOf(view("a", 30_000, slowness = 5.0), view("b", 4000))).keys)
        }

        @Test
        fun `a task larger than every agent has no place`() {
            assertNull(spreader.choose(listOf(view("a", 32_000)), 40_000, 64, 100.milliseconds))
        }
    }

    @Nested
    inner class Admission {
        private val admission = JobAdmission()

        @Test
        fun `a job that can start at once is taken, whatever its slack`() =
            assertEquals(AdmissionVerdict.Admit, admission.judge(Duration.ZERO, slack = Duration.ZERO))

        @Test
        fun `a job whose wait exceeds its slack is refused, and told when to come back`() {
            val verdict = assertIs<AdmissionVerdict.Refuse>(admission.judge(900.milliseconds, slack = 100.milliseconds))
            assertEquals(800.milliseconds, verdict.retryAfter)
        }
    }

    @Nested
    inner class Waiting {
        private val queue = RunQueue<String>()

        @Test
        fun `the task whose latest start comes first goes first`() {
            queue.add("late", 1000, 1, 300.milliseconds)
            queue.add("soon", 1000, 1, 100.milliseconds)
            assertEquals("soon", queue.takeFitting(1000, 1))
        }

        @Test
        fun `a task that does not fit lets a smaller one pass`() {
            queue.add("large", 9000, 1, 100.milliseconds)
            queue.add("small", 1000, 1, 300.milliseconds)
            assertEquals("small", queue.takeFitting(2000, 1))
            assertNull(queue.takeFitting(2000, 1))
        }

        @Test
        fun `tasks whose latest start has passed are given back`() {
            queue.add("late", 1000, 1, 300.milliseconds)
            queue.add("soon", 1000, 1, 100.milliseconds)
            assertEquals(listOf("soon"), queue.takeExpired(200.milliseconds))
            assertEquals(1, queue.size)
        }
    }
}
