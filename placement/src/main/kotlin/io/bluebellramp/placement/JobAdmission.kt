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
     * @param wait wait expected for its first task
     * @param longest wait expected for its last task, if all are placed now
     * @param slack time that its tasks may wait and still end in time
     */
    fun judge(
        wait: Duration,
        slack: Duration,
        longest: Duration = wait,
    ): AdmissionVerdict {
        val isFirstInTime = wait <= Duration.ZERO || wait <= slack * SHARE_OF_SLACK
        if (isFirstInTime && longest <= slack * SHARE_FOR_LAST) return AdmissionVerdict.Admit
        val late = maxOf(wait, longest)
        return AdmissionVerdict.Refuse(retryAfter = (late - slack).coerceIn(SHORTEST_RETRY, LONGEST_RETRY), expectedWait = late)
    }

    private companion object {
        /** Part of the slack that a wait may take; the rest is for the links and for estimates that are off. */
        const val SHARE_OF_SLACK = 0.8

        /** The same for the last task. Waits are off by half, and a strict bound would refuse wide jobs out of proportion. */
        const val SHARE_FOR_LAST = 2.0

        val SHORTEST_RETRY = 200.milliseconds
        val LONGEST_RETRY = 3.seconds
    }
}
