package io.bluebellramp.agent

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

private const val DEFAULT_SEEDS = 1000
private const val FIRST_SEED = 1L

class AgentSeededTest {
    @Nested
    inner class `under faults` {
        @Test
        fun `no task starts twice, nothing starts without a permit, and each attempt is answered`() {
            val one = System.getProperty("bluebellramp.seed").orEmpty().toLongOrNull()
            val count = System.getProperty("bluebellramp.seeds").orEmpty().toIntOrNull() ?: DEFAULT_SEEDS
            val seeds = if (one != null) listOf(one) else (FIRST_SEED until FIRST_SEED + count).toList()
            val histories = seeds.associateWith { AgentSimulation(it).run() }
            println("seeds ${seeds.first()}..${seeds.last()}: ${histories.values.sumOf { it.starts }} starts")
            val breaches = histories.filterValues { it.breaches.isNotEmpty() }.mapValues { it.value.breaches.take(3) }
            assertEquals(emptyMap(), breaches.entries.take(5).associate { it.key to it.value }, "${breaches.size} seeds failed")
            assertTrue(histories.values.all { it.starts > 0 }, "a seed started nothing")
        }
    }
}
