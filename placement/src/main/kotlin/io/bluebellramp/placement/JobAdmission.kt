package io.bluebellramp.placement

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Whether a new job is taken. */
sealed interface AdmissionVerdict {
    /** The job is placed now. */
    data object Admit : AdmissionVerdict

    /** The job would end after its objective: it is refused before anything of it starts, and may come back after [retryAfter]. */
    data class Refuse(
        val retryAfter: Duration,
        val expectedWait: Duration,
    ) : AdmissionVerdict
}

/**
 * Decides at arrival whether a job can still end in time, so that its caller hears at once if it cannot.
 *
 * Answers overload: when the work that waits is longer than a job's slack, taking it would make it late, and the jobs behind it too.
 */
class JobAdmission {
    /**
     * @param wait longest wait expected for one of its tasks
     * @param slack time that its tasks may wait and still end in time
     */
    fun judge(
        wait: Duration,
        slack: Duration,
    ): AdmissionVerdict {
        if (wait <= Duration.ZERO || wait <= slack * SHARE_OF_SLACK) return AdmissionVerdict.Admit
        return AdmissionVerdict.Refuse(retryAfter = (wait - slack).coerceIn(SHORTEST_RETRY, LONGEST_RETRY), expectedWait = wait)
    }

    private companion object {
        /** Part of the slack that a wait may take; the rest is for the links and for estimates that are off. */
        const val SHARE_OF_SLACK = 0.8

        val SHORTEST_RETRY = 200.milliseconds
        val LONGEST_RETRY = 3.seconds
    }
}
