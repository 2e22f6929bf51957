package io.bluebellramp.placement

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class DemandChangeFilterTest {
    private val changeFilter = DemandChangeFilter(tolerance = 0.2)

    private fun demand(
        tasks: Int,
        tasksLeft: Int,
    ) = QueueDemand(tasks = tasks, tasksLeft = tasksLeft)

    @Nested
    inner class `a change of demand` {
        private val cases =
            listOf(
                Triple(null, demand(0, 0), false),
                Triple(null, demand(1, 1), true),
                Triple(demand(1, 1), demand(0, 0), true),
                Triple(demand(50, 10), demand(90, 10), false),
                Triple(demand(50, 10), demand(50, 8), false),
                Triple(demand(50, 10), demand(50, 7), true),
                Triple(demand(50, 10), demand(50, 13), true),
            )

        @Test
        fun `is significant if it may change a grant`() {
            for ((sent, now, expected) in cases) assertEquals(expected, changeFilter.isSignificant(sent, now), "$sent to $now")
        }
    }
}
