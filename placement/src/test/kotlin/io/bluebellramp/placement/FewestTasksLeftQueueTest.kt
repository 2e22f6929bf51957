package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

class FewestTasksLeftQueueTest {
    private val wideJob = SubmissionId.create(Instant.EPOCH, high = 0, low = 1)
    private val queue = FewestTasksLeftQueue(idealResponseTime = { 10.seconds }, lateFactor = 3.0, lateShare = 0.25)
    private var lastJobNumber = 1L

    private fun addWideJob() =
        queue.add(
            QueuedJob(
                wideJob,
                team = null,
                tasks =
                    List(1000) {
                        it
                    },
                arrivedAt = 0.seconds,
                deadline = Duration.INFINITE,
            ),
        )

    /** Adds a narrow job before each of [count] takes. Returns how many of the taken tasks belong to the wide job. */
    private fun countWideJobTasks(
        count: Int,
        now: Duration,
    ): Int =
        (1..count).count {
            lastJobNumber++
            queue.add(QueuedJob(SubmissionId.create(Instant.EPOCH, high = 0, low = lastJobNumber), null, listOf(0), now, Duration.INFINITE))
            queue.take(now)?.submission == wideJob
        }

    @Nested
    inner class `with a constant supply of narrow jobs` {
        @Test
        fun `a wide job waits until it is late`() {
            addWideJob()
            assertEquals(0, countWideJobTasks(count = 100, now = 29.seconds))
        }

        @Test
        fun `a late wide job gets exactly the late share of the starts`() {
            addWideJob()
            assertEquals(25, countWideJobTasks(count = 100, now = 30.seconds))
        }

        @Test
        fun `a late wide job whose turn it is reports one unfinished task`() {
            addWideJob()
            countWideJobTasks(count = 100, now = 30.seconds)
            val reported =
                (1..8).map {
                    val tasksLeft = queue.demand(30.seconds).tasksLeft
                    queue.take(30.seconds)
                    tasksLeft
                }
            assertTrue(1 in reported)
        }
    }
}
