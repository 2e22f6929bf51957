package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.TaskSpecification
import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class SubmissionTableTest {
    private val budget = MemoryBudget(most = 10_000)
    private val table = SubmissionTable(Counters(), ActionSink(), budget)
    private var ids = 0L

    private fun submission(deadline: Duration): Submission {
        val new =
            NewSubmission(
                id = SubmissionId.create(Instant.EPOCH, ++ids, ids),
                service = ServiceId("desk"),
                kind = DispatchKind.TASK,
                tasks = listOf(TaskSpecification(id = "t", payload = "p")),
                digest = "d",
                team = null,
                deadlineMillis = null,
                idempotent = false,
            )
        return Submission(new, arrived = Duration.ZERO, deadline = deadline, budget = budget).also(table::add)
    }

    @Nested
    inner class `A submission` {
        @Test
        fun `is taken once at its deadline, the earliest first`() {
            val later = submission(2.seconds)
            val sooner = submission(1.seconds)
            table.now = 1.seconds
            assertEquals(sooner, table.takeDue())
            assertNull(table.takeDue())
            table.now = 2.seconds
            assertEquals(listOf(later, null), List(2) { table.takeDue() })
        }

        @Test
        fun `is not held until its deadline once it has its answer or is refused`() {
            val answered = submission(1.seconds)
            val refused = submission(1.seconds)
            table.deliver(answered, table.lost(answered, "gone"))
            table.refuse(refused, ErrorCode.NOT_READY, "no lease")
            table.now = 9.seconds
            assertNull(table.takeDue())
            assertEquals(0L to 0, budget.used to table.size)
        }
    }
}
