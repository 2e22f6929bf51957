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
    private val budget = MemoryBudget(maxBytes = 10_000)
    private val table = SubmissionTable(EntryCounters(), ActionBuffer(), budget)
    private var lastId = 0L

    private fun submission(deadline: Duration): Submission {
        val spec =
            SubmissionSpec(
                id = SubmissionId.create(Instant.EPOCH, ++lastId, lastId),
                service = ServiceId("desk"),
                kind = DispatchKind.TASK,
                tasks = listOf(TaskSpecification(id = "t", payload = "p")),
                digest = "d",
                team = null,
                deadlineMillis = null,
                idempotent = false,
            )
        return Submission(spec, arrived = Duration.ZERO, deadline = deadline, budget = budget).also(table::add)
    }

    @Nested
    inner class `A submission` {
        @Test
        fun `is returned once at its deadline, the earliest first`() {
            val later = submission(2.seconds)
            val sooner = submission(1.seconds)
            table.now = 1.seconds
            assertEquals(sooner, table.takeExpired())
            assertNull(table.takeExpired())
            table.now = 2.seconds
            assertEquals(listOf(later, null), List(2) { table.takeExpired() })
        }

        @Test
        fun `is not kept until its deadline once it is answered or refused`() {
            val answered = submission(1.seconds)
            val refused = submission(1.seconds)
            table.deliver(answered, table.lostAnswer(answered, "gone"))
            table.refuse(refused, ErrorCode.NOT_READY, "no lease")
            table.now = 9.seconds
            assertNull(table.takeExpired())
            assertEquals(0L to 0, budget.usedBytes to table.size)
        }
    }
}
