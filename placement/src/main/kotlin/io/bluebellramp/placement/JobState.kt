package io.bluebellramp.placement

import kotlin.time.Duration

/**
 * A job in a queue and what is left of it.
 *
 * @property sequence place in the order of arrival
 * @property lateAt when it has waited too long compared with its ideal response
 */
internal class JobState(
    val job: QueuedJob,
    val sequence: Long,
    val lateAt: Duration,
) {
    /** Tasks that wait. */
    val waiting = ArrayDeque(job.tasks)

    /** Tasks that have been taken and have not ended. */
    val running = HashSet<Int>()

    /** Tasks that have not ended. */
    var left = job.tasks.size

    companion object {
        val byArrival: Comparator<JobState> = compareBy { it.sequence }
        val byTasksLeft: Comparator<JobState> = compareBy({ it.left }, { it.sequence })
        val byLateness: Comparator<JobState> = compareBy({ it.lateAt }, { it.sequence })
    }
}
