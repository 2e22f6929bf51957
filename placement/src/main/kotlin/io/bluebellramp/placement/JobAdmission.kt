package io.bluebellramp.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether a new job is accepted. */
sealed interface AdmissionDecision {
    /** The job is accepted and placed now. */
    data object Admit : AdmissionDecision

    /** The job would miss its objective. It is refused before any task starts and may be submitted again after [retryAfter]. */
    data class Refuse(
        val retryAfter: Duration,
        val expectedWait: Duration,
    ) : AdmissionDecision
}

/**
 * Decides on arrival whether a job can end in time, so that its caller learns at once if it cannot.
 *
 * This limits overload: if the queued work takes longer than the slack of a job, accepting it would delay the jobs behind it as well.
 */
class JobAdmission {
    /**
     * @param firstWait expected wait of the first task
     * @param lastWait expected wait of the last task, if all are placed now
     * @param slack time that the tasks may wait without missing the objective
     * @param isContended whether jobs of several priorities compete for the capacity
     */
    fun decide(
        firstWait: Duration,
        slack: Duration,
        lastWait: Duration = firstWait,
        isContended: Boolean = false,
    ): AdmissionDecision {
        val isFirstInTime = firstWait <= Duration.ZERO || firstWait <= slack * FIRST_WAIT_SLACK_SHARE
        val lastWaitShare = if (isContended) CONTENDED_LAST_WAIT_SLACK_SHARE else LAST_WAIT_SLACK_SHARE
        if (isFirstInTime && lastWait <= slack * lastWaitShare) return AdmissionDecision.Admit
        val expectedWait = maxOf(firstWait, lastWait)
        return AdmissionDecision.Refuse(
            retryAfter = (expectedWait - slack).coerceIn(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            expectedWait = expectedWait,
        )
    }

    private companion object {
        /** Share of the slack that the first wait may use; the rest covers network delays and wrong estimates. */
        const val FIRST_WAIT_SLACK_SHARE = 0.8

        /** The same for the last task. Expected waits are off by half, so a strict limit would refuse too many wide jobs. */
        const val LAST_WAIT_SLACK_SHARE = 2.0

        /** The same while priorities compete: a job that ends late has then also delayed others. */
        const val CONTENDED_LAST_WAIT_SLACK_SHARE = 1.0

        val MIN_RETRY_AFTER = 200.milliseconds
        val MAX_RETRY_AFTER = 3.seconds
    }
}
