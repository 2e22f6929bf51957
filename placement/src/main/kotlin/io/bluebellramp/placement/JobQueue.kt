package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import kotlin.time.Duration

/**
 * A job whose tasks wait in an entry.
 *
 * @property tasks indices of the tasks that wait
 * @property arrived when it arrived, on the monotonic clock
 * @property deadline when its answer is of no use any more, on the monotonic clock
 */
data class QueuedJob(
    val submission: SubmissionId,
    val team: TeamId?,
    val tasks: List<Int>,
    val arrived: Duration,
    val deadline: Duration,
)

/** The task that takes the next credit. */
data class TaskPick(
    val submission: SubmissionId,
    val task: Int,
)

/**
 * What waits for one service in one entry.
 *
 * @property tasks tasks that wait and may start within their quota
 * @property tasksLeft tasks of the best waiting job that have not ended, or 0 if none waits
 */
data class QueueDemand(
    val tasks: Int,
    val tasksLeft: Int,
)

/**
 * Orders the tasks that wait for one service in one entry. It has no I/O and is used from one thread at a time.
 *
 * Each policy is one implementation.
 */
interface JobQueue {
    /** Adds a job. */
    fun add(job: QueuedJob)

    /** Takes the task that should start next, or null if none may start. */
    fun take(now: Duration): TaskPick?

    /** Puts a taken task back that is proved not to have started. It has no effect after [remove]. */
    fun giveBack(
        submission: SubmissionId,
        task: Int,
    )

    /** Notes that a taken task has ended. */
    fun ended(
        submission: SubmissionId,
        task: Int,
    )

    /** Removes a job and returns the indices of its tasks that were still waiting. */
    fun remove(submission: SubmissionId): List<Int>

    /** Returns what waits. */
    fun demand(now: Duration): QueueDemand

    /** Waiting tasks that would start before those of a new job of [tasks] tasks. */
    fun tasksAhead(tasks: Int): Int = waiting

    /** Tasks that wait, whether or not their quota lets them start. */
    val waiting: Int
}
