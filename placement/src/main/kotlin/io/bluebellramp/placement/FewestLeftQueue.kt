package io.bluebellramp.placement

import kotlin.time.Duration

/** Estimates the response time that a job would have if it were alone in the system. */
fun interface IdealResponse {
    /** Returns the ideal response time of a job of [tasks] tasks. */
    fun of(tasks: Int): Duration
}

/**
 * Gives the next slot to the job with the fewest tasks left, which keeps the mean response time low.
 *
 * Wide jobs do not starve: a job that has waited [lateFactor] times its ideal response is late, and late jobs together get at
 * least [lateShare] of the starts, the one that has been late for longest first.
 *
 * @param ideal the ideal response by the number of tasks
 * @param lateFactor multiple of the ideal response after which a job is late
 * @param lateShare share of the starts that late jobs get, from 0 to 1
 */
class FewestLeftQueue(
    private val ideal: IdealResponse = IdealResponse { Duration.INFINITE },
    quota: TeamQuota = TeamQuota.Unlimited,
    private val lateFactor: Double = LATE_FACTOR,
    private val lateShare: Double = LATE_SHARE,
) : TeamJobQueue(order = JobState.byTasksLeft, quota = quota) {
    private var lateTurn = 0.0

    override fun lateAt(job: QueuedJob): Duration = job.arrived + ideal.of(job.tasks.size) * lateFactor

    override fun next(now: Duration): JobState? {
        val open = open()
        val late = if (isLateTurn()) open.mapNotNull { it.latest() }.minWithOrNull(JobState.byLateness) else null
        if (late != null && late.lateAt <= now) return late
        return open.mapNotNull { it.first() }.minWithOrNull(JobState.byTasksLeft)
    }

    override fun taken(
        state: JobState,
        now: Duration,
    ) {
        lateTurn = minOf(1.0, lateTurn + lateShare)
        if (lateTurn >= 1.0 && state.lateAt <= now) lateTurn = 0.0
    }

    /** A late job in its turn is reported like one with a single task left, so that it gets its share across entries, too. */
    override fun reported(
        state: JobState,
        now: Duration,
    ): Int = if (isLateTurn() && state.lateAt <= now) 1 else state.left

    override fun isAhead(
        state: JobState,
        tasks: Int,
    ) = state.left <= tasks

    private fun isLateTurn() = lateTurn + lateShare >= 1.0

    /** Defaults. */
    companion object {
        /** A job is late after this multiple of its ideal response. */
        const val LATE_FACTOR = 5.0

        /** Late jobs get this share of the starts. */
        const val LATE_SHARE = 0.02
    }
}
