package io.bluebellramp.placement

import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val MILLI_CPU = 3400
private val estimate = 1.seconds
private val objective = estimate * 1.6 + 60.milliseconds

class AgentSelectorTest {
    private fun agent(
        name: Int,
        free: Int,
        slowness: Double,
        workAhead: Long = 0,
    ) = AgentCapacity(name, 32_000, free, 10_000, workAhead, slowness, failureRate = 0.0, reportAge = Duration.ZERO)

    private fun select(
        agents: List<AgentCapacity<Int>>,
        timeLeft: Duration?,
    ) = AgentSelector(Random(1)).selectForTasks(agents, MILLI_CPU, 64, estimate, 6, timeLeft).map { it?.agent }

    @Nested
    inner class UnevenSpeeds {
        private val slowFree = agent(1, free = 32_000, slowness = 1.43)
        private val fastFree = agent(2, free = 32_000, slowness = 0.59)
        private val fastFull = agent(3, free = 0, slowness = 0.59, workAhead = 1_000_000)

        @Test
        fun `a slow target that ends the task in time is preferred to a wait for a fast one`() {
            assertEquals(3, select(listOf(slowFree, fastFull), timeLeft = null).first())
            assertEquals(setOf<Int?>(1), select(listOf(slowFree, fastFull), objective).toSet())
        }

        @Test
        fun `a free fast target is preferred to a free slow one`() {
            assertEquals(setOf<Int?>(2), select(listOf(slowFree, fastFree), objective).toSet())
        }

        @Test
        fun `a slow individual gets no task that it would end too late`() {
            val individual = agent(4, free = 32_000, slowness = 4.0)
            assertEquals(setOf<Int?>(3), select(listOf(individual, fastFull), objective).toSet())
        }

        @Test
        fun `if no target ends the task in time the expected end decides, with the same random draws`() {
            val agents = listOf(slowFree, fastFree, fastFull, agent(4, free = 32_000, slowness = 0.7))
            assertEquals(select(agents, timeLeft = null), select(agents, 100.milliseconds))
        }
    }
}
