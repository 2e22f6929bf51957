package io.bluebellramp.placement

import kotlin.time.Duration

/** Estimates the response time that a job would have if it were alone in the system. */
fun interface IdealResponseTime {
    /** Returns the ideal response time of a job of [tasks] tasks. */
    fun ofJob(tasks: Int): Duration
}

/**
 * Gives the next slot to the job with the fewest unfinished tasks, which keeps the mean response time low.
 *
 * Wide jobs do not starve: a job that has waited [lateFactor] times its ideal response time is late, and late jobs together get at
 * least [lateShare] of the starts, the job that became late first before the others.
 *
 * @param idealResponseTime ideal response time by the number of tasks
 * @param lateFactor multiple of the ideal response time after which a job is late
 * @param lateShare share of the starts reserved for late jobs, from 0 to 1
 */
class FewestTasksLeftQueue(
    private val idealResponseTime: IdealResponseTime = IdealResponseTime { Duration.INFINITE },
    quota: TeamQuota = TeamQuota.Unlimited,
    private val lateFactor: Double = LATE_FACTOR,
    private val lateShare: Double = LATE_SHARE,
) : TeamJobQueue(order = JobState.byTasksLeft, quota = quota) {
    private var accruedLateTurns = 0.0

    override fun lateAt(job: QueuedJob): Duration = job.arrivedAt + idealResponseTime.ofJob(job.tasks.size) * lateFactor

    override fun nextJob(now: Duration): JobState? {
        val teams = startableTeams()
        val late = if (isLateTurn()) teams.mapNotNull { it.firstLate() }.minWithOrNull(JobState.byLateness) else null
        if (late != null && late.lateAt <= now) return late
        return teams.mapNotNull { it.first() }.minWithOrNull(JobState.byTasksLeft)
    }

    override fun onTaken(
        state: JobState,
        now: Duration,
    ) {
        accruedLateTurns = minOf(1.0, accruedLateTurns + lateShare)
        if (accruedLateTurns >= 1.0 && state.lateAt <= now) accruedLateTurns = 0.0
    }

    /** Reports a late job whose turn it is as if it had one unfinished task, so that late jobs get their share across entries as well. */
    override fun reportedTasksLeft(
        state: JobState,
        now: Duration,
    ): Int = if (isLateTurn() && state.lateAt <= now) 1 else state.tasksLeft

    override fun startsBefore(
        state: JobState,
        tasks: Int,
    ) = state.tasksLeft <= tasks

    private fun isLateTurn() = accruedLateTurns + lateShare >= 1.0

    /** Default settings. */
    companion object {
        /** Multiple of the ideal response time after which a job is late. */
        const val LATE_FACTOR = 5.0

        /** Share of the starts reserved for late jobs. */
        const val LATE_SHARE = 0.02
    }
}
