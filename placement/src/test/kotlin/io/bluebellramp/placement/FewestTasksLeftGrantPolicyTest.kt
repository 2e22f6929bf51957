package io.bluebellramp.placement

import io.bluebellramp.core.EntryId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class FewestTasksLeftGrantPolicyTest {
    private val a = EntryId("a")
    private val b = EntryId("b")
    private val c = EntryId("c")
    private val policy = FewestTasksLeftGrantPolicy()

    private fun creditState(
        entry: EntryId,
        tasks: Int = 0,
        tasksLeft: Int = tasks,
        unspent: Int = 0,
        recalled: Int = 0,
    ) = EntryCreditState(entry = entry, unspent = unspent, demand = QueueDemand(tasks = tasks, tasksLeft = tasksLeft), recalled = recalled)

    @Nested
    inner class `with more demand than free slots` {
        @Test
        fun `the entry whose next job has the fewest unfinished tasks gets them`() {
            val decision =
                policy.decide(
                    free = 2,
                    entries = listOf(creditState(a, tasks = 9), creditState(b, tasks = 3), creditState(c, tasks = 5)),
                )
            assertEquals(GrantDecision(grants = mapOf(b to 2), recalls = emptyMap()), decision)
        }

        @Test
        fun `slots that this entry does not need go to the next one`() {
            val decision = policy.decide(free = 3, entries = listOf(creditState(a, tasks = 9), creditState(b, tasks = 3, unspent = 1)))
            assertEquals(mapOf(a to 1, b to 2), decision.grants)
        }
    }

    @Nested
    inner class `without demand` {
        @Test
        fun `slots are granted ahead of demand in equal parts`() {
            val decision = policy.decide(free = 5, entries = listOf(creditState(a, unspent = 1), creditState(b), creditState(c)))
            assertEquals(mapOf(a to 1, b to 2, c to 2), decision.grants)
        }

        @Test
        fun `nothing is granted ahead of demand if that is disabled`() {
            val decision = FewestTasksLeftGrantPolicy(grantsAhead = false).decide(free = 5, entries = listOf(creditState(a)))
            assertEquals(emptyMap(), decision.grants)
        }
    }

    @Nested
    inner class `with idle credits at another entry` {
        @Test
        fun `they are recalled for an entry with demand`() {
            val decision =
                policy.decide(
                    free = 0,
                    entries = listOf(creditState(a, tasks = 2), creditState(b, unspent = 3), creditState(c, unspent = 1)),
                )
            assertEquals(mapOf(b to 2), decision.recalls)
        }

        @Test
        fun `a recall is not repeated until it was answered`() {
            val decision = policy.decide(free = 0, entries = listOf(creditState(a, tasks = 2), creditState(b, unspent = 3, recalled = 2)))
            assertEquals(emptyMap(), decision.recalls)
        }

        @Test
        fun `credits needed for waiting tasks are not recalled`() {
            val decision = policy.decide(free = 0, entries = listOf(creditState(a, tasks = 2), creditState(b, tasks = 3, unspent = 3)))
            assertEquals(emptyMap(), decision.recalls)
        }
    }
}
