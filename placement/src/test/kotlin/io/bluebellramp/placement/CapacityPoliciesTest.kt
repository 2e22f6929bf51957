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

class CapacityPoliciesTest {
    private fun capacity(
        agent: String,
        free: Int,
        workAheadCpuMicros: Long = 0,
        slowness: Double = 1.0,
        failureRate: Double = 0.0,
    ) = AgentCapacity(agent, 32_000, free, 10_000, workAheadCpuMicros, slowness, failureRate, Duration.ZERO)

    @Nested
    inner class Selection {
        private val selector = AgentSelector(Random(3))

        private fun counts(agents: List<AgentCapacity<String>>) =
            (1..1000).mapNotNull { selector.select(agents, 3000, 64, 100.milliseconds)?.agent }.groupingBy { it }.eachCount()

        @Test
        fun `tasks are distributed in proportion to free capacity`() {
            val counts = counts(listOf(capacity("a", 30_000), capacity("b", 10_000)))
            assertTrue(counts.getValue("a") in 680..820, "$counts")
        }

        @Test
        fun `slightly faster agents are not filled before the others`() {
            val counts = counts(listOf(capacity("a", 20_000), capacity("b", 20_000, slowness = 1.3), capacity("c", 20_000, slowness = 1.5)))
            assertTrue(counts.values.all { it in 280..390 }, "$counts")
        }

        @Test
        fun `no task waits while another agent has free capacity`() {
            assertEquals(setOf("b"), counts(listOf(capacity("a", 0, workAheadCpuMicros = 32_000L * 100), capacity("b", 4000))).keys)
        }

        @Test
        fun `a free agent where nearly all tasks fail is avoided if the wait elsewhere is short`() {
            val counts = counts(listOf(capacity("a", 32_000).copy(failureRate = 0.95), capacity("b", 0, workAheadCpuMicros = 32_000L * 50)))
            assertEquals(setOf("b"), counts.keys)
        }

        @Test
        fun `a free agent with some failures is used if the wait elsewhere is long`() {
            val counts =
                counts(listOf(capacity("a", 32_000).copy(failureRate = 0.3), capacity("b", 0, workAheadCpuMicros = 32_000L * 2000)))
            assertEquals(setOf("a"), counts.keys)
        }

        @Test
        fun `each task of a step takes the tasks placed before it into account`() {
            val choices = selector.selectForTasks(listOf(capacity("a", 3000), capacity("b", 3000)), 3000, 64, 100.milliseconds, count = 3)
            assertEquals(setOf("a", "b"), choices.take(2).map { it?.agent }.toSet())
            assertTrue(choices.last()!!.wait > Duration.ZERO)
        }

        @Test
        fun `a task is sent to an agent it should avoid only if there is no other`() {
            val agents = listOf(capacity("a", 32_000), capacity("b", 32_000))
            val choices = selector.selectForTasks(agents, 3000, 64, 100.milliseconds, count = 9) { task, agent -> task < 8 && agent == "a" }
            assertEquals(setOf("b"), choices.take(8).map { it?.agent }.toSet())
            assertEquals(
                "a",
                selector.selectForTasks(listOf(capacity("a", 0)), 3000, 64, 100.milliseconds, 1) { _, _ -> true }.single()?.agent,
            )
        }

        @Test
        fun `failed runs count as delay, slowness does not`() {
            assertTrue(capacity("a", 32_000).copy(failureRate = 0.9).expectedFailedRunTime(100.milliseconds) > 800.milliseconds)
            assertEquals(Duration.ZERO, capacity("b", 32_000, slowness = 2.0).expectedFailedRunTime(100.milliseconds))
        }

        @Test
        fun `a much slower agent is not used while others have free capacity`() {
            assertEquals(setOf("b"), counts(listOf(capacity("a", 30_000, slowness = 5.0), capacity("b", 4000))).keys)
        }

        @Test
        fun `an agent where most tasks fail is not used while others have free capacity`() {
            assertEquals(setOf("b"), counts(listOf(capacity("a", 30_000, failureRate = 0.8), capacity("b", 4000))).keys)
        }

        @Test
        fun `no agent is selected for a task larger than every agent`() {
            assertNull(selector.select(listOf(capacity("a", 32_000)), 40_000, 64, 100.milliseconds))
        }
    }

    @Nested
    inner class Admission {
        private val admission = JobAdmission()

        @Test
        fun `a job that can start at once is admitted regardless of its slack`() =
            assertEquals(AdmissionDecision.Admit, admission.decide(Duration.ZERO, slack = Duration.ZERO))

        @Test
        fun `a job whose last task is expected far too late is refused, one slightly late is admitted`() {
            val slack = 100.milliseconds
            assertIs<AdmissionDecision.Refuse>(admission.decide(Duration.ZERO, slack, lastWait = 300.milliseconds))
            assertEquals(AdmissionDecision.Admit, admission.decide(Duration.ZERO, slack, lastWait = 150.milliseconds))
        }

        @Test
        fun `while priorities compete, a job whose last task is expected after its slack is refused`() {
            val slack = 100.milliseconds
            assertIs<AdmissionDecision.Refuse>(admission.decide(Duration.ZERO, slack, lastWait = 150.milliseconds, isContended = true))
            assertEquals(AdmissionDecision.Admit, admission.decide(Duration.ZERO, slack, lastWait = 90.milliseconds, isContended = true))
        }

        @Test
        fun `a job whose wait exceeds its slack is refused with a time to retry`() {
            val decision = assertIs<AdmissionDecision.Refuse>(admission.decide(900.milliseconds, slack = 100.milliseconds))
            assertEquals(800.milliseconds, decision.retryAfter)
        }
    }

    @Nested
    inner class QueuedTasks {
        private val queue = RunQueue<String>()
        private val now = 10.seconds

        private fun add(
            task: String,
            startIn: Duration = 100.milliseconds,
            queueName: String = "q",
            milliCpu: Int = 1000,
            priority: Int = 0,
        ) = queue.add(task, queueName, milliCpu, 1, cpuMicros = milliCpu * 100L, startBy = now + startIn, priority = priority)

        @Test
        fun `the task with the earliest latest start goes first`() {
            add("late", startIn = 300.milliseconds)
            add("soon", startIn = 100.milliseconds)
            assertEquals("soon", queue.takeFitting(now, 1000, 1))
        }

        /** Guards against capacity reports that grow with every queue of which a task ever ran. */
        @Test
        fun `queues without tasks are forgotten once the work that they were served no longer counts`() {
            repeat(100) { add("task $it", queueName = "q$it") }
            repeat(100) { queue.takeFitting(now, 1000, 1) }
            queue.takeExpired(now)
            assertEquals(100, queue.cpuMicrosByQueue(now).size, "the served work still decides who is next")
            add("waits", queueName = "q7", startIn = 40.seconds)
            val later = now + 30.seconds
            assertEquals(emptyList(), queue.takeExpired(later))
            assertEquals(listOf("q7"), queue.cpuMicrosByQueue(later).map { it.first })
        }

        @Test
        fun `a smaller task passes one that does not fit`() {
            add("large", milliCpu = 9000)
            add("small", startIn = 300.milliseconds)
            assertEquals("small", queue.takeFitting(now, 2000, 1))
            assertNull(queue.takeFitting(now, 2000, 1))
        }

        @Test
        fun `tasks whose latest start has passed expire`() {
            add("late", startIn = 300.milliseconds)
            add("soon", startIn = 100.milliseconds)
            assertEquals(listOf("soon"), queue.takeExpired(now + 200.milliseconds))
            assertEquals(1, queue.size)
        }

        @Test
        fun `a queue that asks for more than its share does not starve the others`() {
            repeat(90) { add("many", queueName = "many") }
            repeat(10) { add("few", startIn = 500.milliseconds, queueName = "few") }
            val taken = List(30) { queue.takeFitting(now, 1000, 1) }
            assertEquals(10, taken.count { it == "few" }, "$taken")
            assertEquals("many", queue.cpuMicrosByQueue(now).first { it.second > 0 }.first)
        }

        @Test
        fun `a queue with higher priority goes first regardless of the work it was served`() {
            repeat(20) { add("urgent", queueName = "urgent", priority = 0) }
            repeat(5) { add("patient", queueName = "patient", priority = 1) }
            assertEquals(List(20) { "urgent" }, List(20) { queue.takeFitting(now, 1000, 1) })
            assertEquals("patient", queue.takeFitting(now, 1000, 1))
        }

        @Test
        fun `capacity that other queues do not use goes to the queue that asks for it`() {
            repeat(5) { add("many", queueName = "many") }
            assertEquals(List(5) { "many" }, List(5) { queue.takeFitting(now, 1000, 1) })
        }
    }
}
