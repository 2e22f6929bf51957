package io.bluebellramp.entry

import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.placement.DeadlineForecast
import kotlin.time.Duration

/** Decides whether a submission that this entry owns is queued or refused, before any of its tasks start. No I/O. */
internal class AdmissionControl(
    private val lease: LeaseState,
    private val services: ServiceTable,
    private val teams: TeamUsage,
    private val maxQueuedTasks: Int,
) {
    /** Returns why [submission] is refused, or null if it may be queued. */
    fun refusal(
        submission: Submission,
        now: Duration,
    ): ErrorBody? {
        if (submission.deadline <= now) return ErrorBody(ErrorCode.DEADLINE_PASSED, "The deadline passed before anything could start.")
        if (services.waiting + submission.size > maxQueuedTasks) {
            return ErrorBody(ErrorCode.QUEUE_FULL, "The queue of this entry holds ${services.waiting} of $maxQueuedTasks tasks.")
        }
        return quotaError(submission) ?: deadlineError(submission)
    }

    private fun quotaError(submission: Submission): ErrorBody? {
        val team = submission.spec.team ?: return null
        val limit = lease.team(team)?.queuedTasks ?: return null
        val waiting = teams.waiting(team)
        if (waiting + submission.size <= limit) return null
        return ErrorBody(ErrorCode.QUOTA_EXCEEDED, "Team $team has $waiting tasks waiting and may have $limit.")
    }

    private fun deadlineError(submission: Submission): ErrorBody? {
        val forecast = services.forecast(submission)
        if (forecast !is DeadlineForecast.Unreachable) return null
        return ErrorBody(ErrorCode.DEADLINE_UNREACHABLE, "It needs at least ${forecast.estimate.inWholeMilliseconds} ms.")
    }
}
