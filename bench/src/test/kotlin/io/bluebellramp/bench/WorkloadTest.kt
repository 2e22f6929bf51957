package io.bluebellramp.bench

import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

class WorkloadTest {
    private val settings = WorkloadSettings(load = 0.8, slots = 88, length = 20.minutes, seed = 7)

    @Nested
    inner class `the jobs of a run` {
        private val jobs = Workload(settings).jobs()

        @Test
        fun `are the same for the same seed`() {
            assertEquals(jobs.map { it.tasks }, Workload(settings).jobs().map { it.tasks })
        }

        @Test
        fun `give the configured load`() {
            val work = jobs.fold(Duration.ZERO) { sum, job -> sum + job.work }
            assertTrue(work / (settings.length * settings.slots) in 0.72..0.88)
        }

        @Test
        fun `have the configured mean width`() {
            assertTrue(jobs.map { it.tasks.size }.average() in 16.0..20.0)
        }
    }

    @Nested
    inner class `an ideal schedule` {
        private fun job(
            index: Int,
            at: Int,
            vararg tasks: Int,
        ) = JobPlan(index, at.seconds, tasks.map { it.seconds })

        private val cases =
            listOf(
                Triple(listOf(job(0, 0, 3, 1)), 2, listOf(3)),
                Triple(listOf(job(0, 0, 3, 1)), 1, listOf(4)),
                Triple(listOf(job(0, 0, 2, 2, 2), job(1, 1, 1)), 1, listOf(7, 2)),
                Triple(listOf(job(0, 0, 1), job(1, 5, 2)), 1, listOf(1, 2)),
            )

        @Test
        fun `answers each job as early as the order allows`() {
            for ((jobs, slots, expected) in cases) {
                assertEquals(expected.map { it.seconds }, IdealSchedule.responses(jobs, slots))
            }
        }
    }
}
