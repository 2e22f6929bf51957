package io.bluebellramp.placement

import io.bluebellramp.core.EntryId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

class BestJobGrantPolicyTest {
    private val a = EntryId("a")
    private val b = EntryId("b")
    private val c = EntryId("c")
    private val policy = BestJobGrantPolicy()

    private fun standing(
        entry: EntryId,
        tasks: Int = 0,
        left: Int = tasks,
        unspent: Int = 0,
        recalled: Int = 0,
    ) = EntryStanding(entry = entry, unspent = unspent, demand = QueueDemand(tasks = tasks, tasksLeft = left), recalled = recalled)

    @Nested
    inner class `with more demand than free slots` {
        @Test
        fun `the best waiting job gets them`() {
            val decision = policy.decide(free = 2, entries = listOf(standing(a, tasks = 9), standing(b, tasks = 3), standing(c, tasks = 5)))
            assertEquals(GrantDecision(grants = mapOf(b to 2), recalls = emptyMap()), decision)
        }

        @Test
        fun `what the best entry does not need goes to the next`() {
            val decision = policy.decide(free = 3, entries = listOf(standing(a, tasks = 9), standing(b, tasks = 3, unspent = 1)))
            assertEquals(mapOf(a to 1, b to 2), decision.grants)
        }
    }

    @Nested
    inner class `with nobody waiting` {
        @Test
        fun `slots are granted ahead in equal parts`() {
            val decision = policy.decide(free = 5, entries = listOf(standing(a, unspent = 1), standing(b), standing(c)))
            assertEquals(mapOf(a to 1, b to 2, c to 2), decision.grants)
        }

        @Test
        fun `nothing is granted ahead if that is switched off`() {
            val decision = BestJobGrantPolicy(standing = false).decide(free = 5, entries = listOf(standing(a)))
            assertEquals(emptyMap(), decision.grants)
        }
    }

    @Nested
    inner class `with idle credits elsewhere` {
        @Test
        fun `they are recalled for an entry that waits`() {
            val decision =
                policy.decide(
                    free = 0,
                    entries = listOf(standing(a, tasks = 2), standing(b, unspent = 3), standing(c, unspent = 1)),
                )
            assertEquals(mapOf(b to 2), decision.recalls)
        }

        @Test
        fun `a recall is not repeated while its answer is out`() {
            val decision = policy.decide(free = 0, entries = listOf(standing(a, tasks = 2), standing(b, unspent = 3, recalled = 2)))
            assertEquals(emptyMap(), decision.recalls)
        }

        @Test
        fun `credits that have tasks waiting are left alone`() {
            val decision = policy.decide(free = 0, entries = listOf(standing(a, tasks = 2), standing(b, tasks = 3, unspent = 3)))
            assertEquals(emptyMap(), decision.recalls)
        }
    }
}
