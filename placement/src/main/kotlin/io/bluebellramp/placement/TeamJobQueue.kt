package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import kotlin.time.Duration

/**
 * A queue that keeps the jobs of each team apart, so that a team without room in its quota costs nothing to skip.
 *
 * Every operation takes time logarithmic in the number of jobs and linear in the number of teams. A subclass chooses the job
 * that gives the next task.
 */
abstract class TeamJobQueue internal constructor(
    private val order: Comparator<JobState>,
    private val quota: TeamQuota,
) : JobQueue {
    private val jobs = HashMap<SubmissionId, JobState>()
    private val removed = HashMap<SubmissionId, JobState>()
    private val lines = LinkedHashMap<TeamId?, TeamLine>()
    private var arrivals = 0L

    final override val waiting: Int get() = lines.values.sumOf { it.waiting }

    /** Returns the job that gives the next task, or null if none may start. */
    internal abstract fun next(now: Duration): JobState?

    /** Returns when [job] counts as late. */
    internal open fun lateAt(job: QueuedJob): Duration = Duration.INFINITE

    /** Is told that a task of [state] was taken. */
    internal open fun taken(
        state: JobState,
        now: Duration,
    ) = Unit

    /** The tasks left that are reported for [state], the next job. */
    internal open fun reported(
        state: JobState,
        now: Duration,
    ): Int = state.left

    final override fun add(job: QueuedJob) {
        if (job.tasks.isEmpty() || job.submission in jobs) return
        val state = JobState(job = job, sequence = arrivals++, lateAt = lateAt(job))
        jobs[job.submission] = state
        lines.getOrPut(job.team) { TeamLine(job.team, order) }.add(state)
    }

    final override fun take(now: Duration): TaskPick? {
        val state = next(now) ?: return null
        taken(state, now)
        return TaskPick(submission = state.job.submission, task = line(state).take(state))
    }

    final override fun giveBack(
        submission: SubmissionId,
        task: Int,
    ) {
        val state = jobs[submission] ?: return endRemoved(submission, task)
        if (state.running.remove(task)) line(state).giveBack(state, task)
    }

    final override fun ended(
        submission: SubmissionId,
        task: Int,
    ) {
        val state = jobs[submission] ?: return endRemoved(submission, task)
        if (!state.running.remove(task)) return
        line(state).ended(state)
        if (state.left == 0) forget(jobs, state)
    }

    final override fun remove(submission: SubmissionId): List<Int> {
        val state = jobs.remove(submission) ?: return emptyList()
        val tasks = state.waiting.toList()
        line(state).remove(state)
        state.waiting.clear()
        state.left = state.running.size
        if (state.left > 0) removed[submission] = state else dropIfEmpty(line(state))
        return tasks
    }

    final override fun demand(now: Duration): QueueDemand {
        val tasks = open().sumOf { minOf(it.waiting, room(it.team)).toLong() }
        return QueueDemand(
            tasks = tasks.coerceAtMost(Int.MAX_VALUE.toLong()).toInt(),
            tasksLeft = next(now)?.let { reported(it, now) } ?: 0,
        )
    }

    final override fun tasksAhead(tasks: Int): Int =
        lines.values.sumOf { line ->
            line.all().sumOf {
                if (isAhead(it, tasks)) it.waiting.size else 0
            }
        }

    /** Tells whether [state] would go before a new job of [tasks] tasks. */
    internal open fun isAhead(
        state: JobState,
        tasks: Int,
    ): Boolean = true

    /** The teams that have a waiting job and room in their quota. */
    internal fun open(): List<TeamLine> = lines.values.filter { it.waiting > 0 && room(it.team) > 0 }

    private fun room(team: TeamId?): Int = if (team == null) Int.MAX_VALUE else quota.room(team)

    private fun line(state: JobState) = lines.getValue(state.job.team)

    private fun endRemoved(
        submission: SubmissionId,
        task: Int,
    ) {
        val state = removed[submission] ?: return
        if (!state.running.remove(task)) return
        line(state).ended(state)
        if (state.left == 0) forget(removed, state)
    }

    private fun forget(
        states: HashMap<SubmissionId, JobState>,
        state: JobState,
    ) {
        states.remove(state.job.submission)
        dropIfEmpty(line(state))
    }

    private fun dropIfEmpty(line: TeamLine) {
        if (line.waiting == 0 && line.running == 0) lines.remove(line.team)
    }
}
