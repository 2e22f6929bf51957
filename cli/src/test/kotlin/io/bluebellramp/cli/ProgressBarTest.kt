package io.bluebellramp.cli

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.PendingBody
import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class ProgressBarTest {
    private val id = SubmissionId.create(Instant.EPOCH, high = 1, low = 2)

    private fun line(
        tasks: Int?,
        done: Int?,
    ) = progressLine(PendingBody(submission = id, tasks = tasks, tasksDone = done), frame = 1, elapsed = 1_500.milliseconds)

    @Nested
    inner class `A progress line` {
        @Test
        fun `shows the number of finished tasks`() {
            assertEquals("[....................] 0 of 400 tasks done, 1.5 s", line(400, 0))
            assertEquals("[######..............] 130 of 400 tasks done, 1.5 s", line(400, 130))
            assertEquals("[####################] 400 of 400 tasks done, 1.5 s", line(400, 400))
        }

        @Test
        fun `shows only the time while the number of finished tasks is unknown`() {
            val withoutCounts = "[.#..................] 1.5 s"
            assertEquals(
                listOf(withoutCounts, withoutCounts),
                listOf(line(400, null), progressLine(null, frame = 21, elapsed = 1_500.milliseconds)),
            )
        }
    }
}
