package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class FewestLeftQueueTest {
    private val wide = SubmissionId.create(Instant.EPOCH, high = 0, low = 1)
    private val queue = FewestLeftQueue(ideal = { 10.seconds }, lateFactor = 3.0, lateShare = 0.25)
    private var narrow = 1L

    private fun addWide() =
        queue.add(
            QueuedJob(
                wide,
                team = null,
                tasks =
                    List(1000) {
                        it
                    },
                arrived = 0.seconds,
                deadline = Duration.INFINITE,
            ),
        )

    /** Takes [count] tasks while narrow jobs never run out, and tells how many were of the wide job. */
    private fun takeWideAmong(
        count: Int,
        now: Duration,
    ): Int =
        (1..count).count {
            narrow++
            queue.add(QueuedJob(SubmissionId.create(Instant.EPOCH, high = 0, low = narrow), null, listOf(0), now, Duration.INFINITE))
            queue.take(now)?.submission == wide
        }

    @Nested
    inner class `while narrow jobs never run out` {
        @Test
        fun `a wide job that is not late waits`() {
            addWide()
            assertEquals(0, takeWideAmong(count = 100, now = 29.seconds))
        }

        @Test
        fun `a late wide job gets its share of the starts and no more`() {
            addWide()
            assertEquals(25, takeWideAmong(count = 100, now = 30.seconds))
        }

        @Test
        fun `a late wide job whose turn it is counts as one task left`() {
            addWide()
            takeWideAmong(count = 100, now = 30.seconds)
            val reports =
                (1..8).map {
                    val left = queue.demand(30.seconds).tasksLeft
                    queue.take(30.seconds)
                    left
                }
            assertTrue(1 in reports)
        }
    }
}
