package io.bluebellramp.placement

import kotlin.time.Duration

/**
 * A queued job and its unfinished tasks.
 *
 * @property sequence position in the order of arrival
 * @property lateAt time from which it has waited too long relative to its ideal response time
 */
internal class JobState(
    val job: QueuedJob,
    val sequence: Long,
    val lateAt: Duration,
) {
    /** Indices of the waiting tasks. */
    val waiting = ArrayDeque(job.tasks)

    /** Indices of the tasks that were taken and have not ended. */
    val running = HashSet<Int>()

    /** Number of tasks that have not ended. */
    var tasksLeft = job.tasks.size

    companion object {
        val byArrival: Comparator<JobState> = compareBy { it.sequence }
        val byTasksLeft: Comparator<JobState> = compareBy({ it.tasksLeft }, { it.sequence })
        val byLateness: Comparator<JobState> = compareBy({ it.lateAt }, { it.sequence })
    }
}
