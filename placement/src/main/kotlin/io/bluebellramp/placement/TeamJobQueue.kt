package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import kotlin.time.Duration

/**
 * A queue that stores the jobs of each team separately, so that a team at its quota is skipped without looking at its jobs.
 *
 * Every operation takes time logarithmic in the number of jobs and linear in the number of teams. A subclass chooses the job
 * from which the next task is taken.
 */
abstract class TeamJobQueue internal constructor(
    private val order: Comparator<JobState>,
    private val quota: TeamQuota,
) : JobQueue {
    private val jobs = HashMap<SubmissionId, JobState>()
    private val removedJobs = HashMap<SubmissionId, JobState>()
    private val backlogs = LinkedHashMap<TeamId?, TeamBacklog>()
    private var nextSequence = 0L

    final override val waiting: Int get() = backlogs.values.sumOf { it.waiting }

    /** Returns the job from which the next task is taken, or null if none may start. */
    internal abstract fun nextJob(now: Duration): JobState?

    /** Returns the time from which [job] is late. */
    internal open fun lateAt(job: QueuedJob): Duration = Duration.INFINITE

    /** Called when a task of [state] is taken. */
    internal open fun onTaken(
        state: JobState,
        now: Duration,
    ) = Unit

    /** Returns the number of unfinished tasks to report for [state], the next job. */
    internal open fun reportedTasksLeft(
        state: JobState,
        now: Duration,
    ): Int = state.tasksLeft

    final override fun add(job: QueuedJob) {
        if (job.tasks.isEmpty() || job.submission in jobs) return
        val state = JobState(job = job, sequence = nextSequence++, lateAt = lateAt(job))
        jobs[job.submission] = state
        backlogs.getOrPut(job.team) { TeamBacklog(job.team, order) }.add(state)
    }

    final override fun take(now: Duration): SelectedTask? {
        val state = nextJob(now) ?: return null
        onTaken(state, now)
        return SelectedTask(submission = state.job.submission, task = backlog(state).take(state))
    }

    final override fun requeue(
        submission: SubmissionId,
        task: Int,
    ) {
        val state = jobs[submission] ?: return endTaskOfRemovedJob(submission, task)
        if (state.running.remove(task)) backlog(state).requeue(state, task)
    }

    final override fun taskEnded(
        submission: SubmissionId,
        task: Int,
    ) {
        val state = jobs[submission] ?: return endTaskOfRemovedJob(submission, task)
        if (!state.running.remove(task)) return
        backlog(state).taskEnded(state)
        if (state.tasksLeft == 0) removeFrom(jobs, state)
    }

    final override fun remove(submission: SubmissionId): List<Int> {
        val state = jobs.remove(submission) ?: return emptyList()
        val tasks = state.waiting.toList()
        backlog(state).remove(state)
        state.waiting.clear()
        state.tasksLeft = state.running.size
        if (state.tasksLeft > 0) removedJobs[submission] = state else removeIfEmpty(backlog(state))
        return tasks
    }

    final override fun demand(now: Duration): QueueDemand {
        val tasks = startableTeams().sumOf { minOf(it.waiting, remainingQuota(it.team)).toLong() }
        return QueueDemand(
            tasks = tasks.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(),
            tasksLeft = nextJob(now)?.let { reportedTasksLeft(it, now) } ?: 0,
        )
    }

    final override fun tasksAhead(tasks: Int): Int =
        backlogs.values.sumOf { backlog ->
            backlog.jobs().sumOf {
                if (startsBefore(it, tasks)) it.waiting.size else 0
            }
        }

    /** Returns whether tasks of [state] would start before those of a new job of [tasks] tasks. */
    internal open fun startsBefore(
        state: JobState,
        tasks: Int,
    ): Boolean = true

    /** Returns the teams that have waiting tasks and are below their quota. */
    internal fun startableTeams(): List<TeamBacklog> = backlogs.values.filter { it.waiting > 0 && remainingQuota(it.team) > 0 }

    private fun remainingQuota(team: TeamId?): Int = if (team == null) Int.MAX_VALUE else quota.remaining(team)

    private fun backlog(state: JobState) = backlogs.getValue(state.job.team)

    private fun endTaskOfRemovedJob(
        submission: SubmissionId,
        task: Int,
    ) {
        val state = removedJobs[submission] ?: return
        if (!state.running.remove(task)) return
        backlog(state).taskEnded(state)
        if (state.tasksLeft == 0) removeFrom(removedJobs, state)
    }

    private fun removeFrom(
        states: HashMap<SubmissionId, JobState>,
        state: JobState,
    ) {
        states.remove(state.job.submission)
        removeIfEmpty(backlog(state))
    }

    private fun removeIfEmpty(backlog: TeamBacklog) {
        if (backlog.waiting == 0 && backlog.running == 0) backlogs.remove(backlog.team)
    }
}
