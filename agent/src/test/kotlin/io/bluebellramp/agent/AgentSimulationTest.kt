package io.bluebellramp.agent

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val DEFAULT_SEEDS = 1000
private const val FIRST_SEED = 1L

class AgentSimulationTest {
    @Nested
    inner class `under faults` {
        @Test
        fun `no task starts twice, no task starts without a permit, and each attempt gets an outcome`() {
            val givenSeed = System.getProperty("bluebellramp.seed").orEmpty().toLongOrNull()
            val count = System.getProperty("bluebellramp.seeds").orEmpty().toIntOrNull() ?: DEFAULT_SEEDS
            val seeds = if (givenSeed != null) listOf(givenSeed) else (FIRST_SEED until FIRST_SEED + count).toList()
            val checkers = seeds.associateWith { AgentSimulation(it).run() }
            println("seeds ${seeds.first()}..${seeds.last()}: ${checkers.values.sumOf { it.starts }} starts")
            val violations = checkers.filterValues { it.violations.isNotEmpty() }.mapValues { it.value.violations.take(3) }
            assertEquals(emptyMap(), violations.entries.take(5).associate { it.key to it.value }, "${violations.size} seeds failed")
            assertTrue(checkers.values.all { it.starts > 0 }, "a seed started nothing")
        }
    }
}
