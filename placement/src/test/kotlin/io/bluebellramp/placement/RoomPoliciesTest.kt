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
import kotlin.time.Duration.Companion.seconds

class RoomPoliciesTest {
    private fun view(
        agent: String,
        free: Int,
        queued: Long = 0,
        slowness: Double = 1.0,
        failing: Double = 0.0,
    ) = RoomView(agent, 32_000, free, 10_000, queued, slowness, failing, Duration.ZERO)

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
        fun `agents that seem a little faster are not filled before the others`() {
            val shares = shares(listOf(view("a", 20_000), view("b", 20_000, slowness = 1.3), view("c", 20_000, slowness = 1.5)))
            assertTrue(shares.values.all { it in 280..390 }, "$shares")
        }

        @Test
        fun `no task waits while another agent has room`() {
            assertEquals(setOf("b"), shares(listOf(view("a", 0, queued = 32_000L * 100), view("b", 4000))).keys)
        }

        @Test
        fun `an agent that is free since it fails everything is left alone while a short wait does`() {
            val shares = shares(listOf(view("a", 32_000).copy(failing = 0.95), view("b", 0, queued = 32_000L * 50)))
            assertEquals(setOf("b"), shares.keys)
        }

        @Test
        fun `an agent that fails now and then is used when the others are far behind`() {
            val shares = shares(listOf(view("a", 32_000).copy(failing = 0.3), view("b", 0, queued = 32_000L * 2000)))
            assertEquals(setOf("a"), shares.keys)
        }

        @Test
        fun `tasks of one step see those placed before them`() {
            val choices = spreader.spread(listOf(view("a", 3000), view("b", 3000)), 3000, 64, 100.milliseconds, count = 3)
            assertEquals(setOf("a", "b"), choices.take(2).map { it?.agent }.toSet())
            assertTrue(choices.last()!!.wait > Duration.ZERO)
        }

        @Test
        fun `a task goes to an agent that it should avoid only if there is no other`() {
            val views = listOf(view("a", 32_000), view("b", 32_000))
            val choices = spreader.spread(views, 3000, 64, 100.milliseconds, count = 9) { task, agent -> task < 8 && agent == "a" }
            assertEquals(setOf("b"), choices.take(8).map { it?.agent }.toSet())
            assertEquals("a", spreader.spread(listOf(view("a", 0)), 3000, 64, 100.milliseconds, 1) { _, _ -> true }.single()?.agent)
        }

        @Test
        fun `runs that fail count as delay, a slow agent does not`() {
            assertTrue(view("a", 32_000).copy(failing = 0.9).expectedRework(100.milliseconds) > 800.milliseconds)
            assertEquals(Duration.ZERO, view("b", 32_000, slowness = 2.0).expectedRework(100.milliseconds))
        }

        @Test
        fun `a much slower agent is left alone while others have room`() {
            assertEquals(setOf("b"), shares(listOf(view("a", 30_000, slowness = 5.0), view("b", 4000))).keys)
        }

        @Test
        fun `an agent that fails what it starts is left alone while others have room`() {
            assertEquals(setOf("b"), shares(listOf(view("a", 30_000, failing = 0.8), view("b", 4000))).keys)
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
        fun `a job whose last task is clearly too late is refused, one that is nearly in time is taken`() {
            val slack = 100.milliseconds
            assertIs<AdmissionVerdict.Refuse>(admission.judge(Duration.ZERO, slack, longest = 300.milliseconds))
            assertEquals(AdmissionVerdict.Admit, admission.judge(Duration.ZERO, slack, longest = 150.milliseconds))
        }

        @Test
        fun `a job whose wait exceeds its slack is refused, and told when to come back`() {
            val verdict = assertIs<AdmissionVerdict.Refuse>(admission.judge(900.milliseconds, slack = 100.milliseconds))
            assertEquals(800.milliseconds, verdict.retryAfter)
        }
    }

    @Nested
    inner class Waiting {
        private val queue = RunQueue<String>()
        private val now = 10.seconds

        private fun add(
            task: String,
            by: Duration = 100.milliseconds,
            kind: String = "q",
            milliCpu: Int = 1000,
            priority: Int = 0,
        ) = queue.add(task, kind, milliCpu, 1, work = milliCpu * 100L, startBy = now + by, priority = priority)

        @Test
        fun `the task whose latest start comes first goes first`() {
            add("late", by = 300.milliseconds)
            add("soon", by = 100.milliseconds)
            assertEquals("soon", queue.takeFitting(now, 1000, 1))
        }

        @Test
        fun `a task that does not fit lets a smaller one pass`() {
            add("large", milliCpu = 9000)
            add("small", by = 300.milliseconds)
            assertEquals("small", queue.takeFitting(now, 2000, 1))
            assertNull(queue.takeFitting(now, 2000, 1))
        }

        @Test
        fun `tasks that have waited too long are given back`() {
            add("late", by = 300.milliseconds)
            add("soon", by = 100.milliseconds)
            assertEquals(listOf("soon"), queue.takeExpired(now + 200.milliseconds))
            assertEquals(1, queue.size)
        }

        @Test
        fun `a kind of request that asks for more than its share crowds no other out`() {
            repeat(90) { add("many", kind = "many") }
            repeat(10) { add("few", by = 500.milliseconds, kind = "few") }
            val taken = List(30) { queue.takeFitting(now, 1000, 1) }
            assertEquals(10, taken.count { it == "few" }, "$taken")
            assertEquals("many", queue.waiting(now).first { it.second > 0 }.first)
        }

        @Test
        fun `a more urgent queue goes first, whatever it was given`() {
            repeat(20) { add("urgent", kind = "urgent", priority = 0) }
            repeat(5) { add("patient", kind = "patient", priority = 1) }
            assertEquals(List(20) { "urgent" }, List(20) { queue.takeFitting(now, 1000, 1) })
            assertEquals("patient", queue.takeFitting(now, 1000, 1))
        }

        @Test
        fun `room that other kinds leave goes to the one that asks for it`() {
            repeat(5) { add("many", kind = "many") }
            assertEquals(List(5) { "many" }, List(5) { queue.takeFitting(now, 1000, 1) })
        }
    }
}
