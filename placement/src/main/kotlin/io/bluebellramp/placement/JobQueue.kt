package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import kotlin.time.Duration

/**
 * A job whose tasks wait in an entry to be started.
 *
 * @property tasks indices of the waiting tasks
 * @property arrivedAt arrival time on the monotonic clock
 * @property deadline time on the monotonic clock after which its answer is useless
 */
data class QueuedJob(
    val submission: SubmissionId,
    val team: TeamId?,
    val tasks: List<Int>,
    val arrivedAt: Duration,
    val deadline: Duration,
)

/** The task that a [JobQueue] selected to start next. */
data class SelectedTask(
    val submission: SubmissionId,
    val task: Int,
)

/**
 * The demand of one entry for one service, as reported to agents.
 *
 * @property tasks waiting tasks that may start within their quota
 * @property tasksLeft unfinished tasks of the job that is next in order, or 0 if none waits
 */
data class QueueDemand(
    val tasks: Int,
    val tasksLeft: Int,
)

/**
 * Orders the tasks that wait for one service in one entry. Does no I/O and is not thread-safe.
 *
 * Each scheduling policy is one implementation.
 */
interface JobQueue {
    /** Adds a job. */
    fun add(job: QueuedJob)

    /** Removes and returns the task that should start next, or returns null if none may start. */
    fun take(now: Duration): SelectedTask?

    /** Requeues a taken task that is known not to have started. Has no effect after [remove]. */
    fun requeue(
        submission: SubmissionId,
        task: Int,
    )

    /** Records that a taken task has ended. */
    fun taskEnded(
        submission: SubmissionId,
        task: Int,
    )

    /** Removes a job. Returns the indices of its tasks that were still waiting. */
    fun remove(submission: SubmissionId): List<Int>

    /** Returns the current demand. */
    fun demand(now: Duration): QueueDemand

    /** Returns how many waiting tasks would start before those of a new job of [tasks] tasks. */
    fun tasksAhead(tasks: Int): Int = waiting

    /** Number of waiting tasks, including those that their quota keeps from starting. */
    val waiting: Int
}
