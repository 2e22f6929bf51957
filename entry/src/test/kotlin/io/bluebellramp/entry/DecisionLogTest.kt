package io.bluebellramp.entry

import io.bluebellramp.core.EntryId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.runtime.Decision
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull

class DecisionLogTest {
    private val budget = MemoryBudget(maxBytes = 10 * DecisionLog.BYTES_PER_LINE)
    private val lines = ConcurrentLinkedQueue<Decision>()
    private val log = DecisionLog(EntryId("e1"), budget, emit = lines::add)

    @Test
    fun `a log that can't keep up drops no line but uses up the memory for new calls`() =
        runBlocking {
            val ids = List(20) { SubmissionId("id-$it") }
            ids.forEach { log.add(Action.LogSubmissionDecision("admit", "claim granted", it)) }
            assertNull(budget.tryReserve(1))
            val writer = launch { log.run() }
            log.close()
            writer.join()
            assertEquals(0, budget.usedBytes)
            assertEquals(ids, lines.map { it.fields["submission"] })
        }
}
