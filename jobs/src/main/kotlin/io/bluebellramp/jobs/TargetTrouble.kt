package io.bluebellramp.jobs

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Notices from ends and progress of runs that a target is slow, fails what it starts, or lets it stand still. */
internal class TargetTrouble {
    private val slow = Slowness()
    private val failing = FailingShare()

    /** Run time over estimate of recent runs, with two digits: a report is news only when they change. */
    fun slowness(now: Duration): Double = slow.value(now).rounded()

    /** Share of recent runs that failed or stood still, with two digits. */
    fun failing(now: Duration): Double = failing.value(now).rounded()

    fun reset() {
        slow.reset()
        failing.reset()
    }

    fun done(
        run: Run,
        ran: Duration,
        now: Duration,
    ) {
        slow.ended(now, ran, run.estimate)
        failing.note(now, failed = false)
    }

    fun failed(now: Duration) = failing.note(now, failed = true)

    /** Notes that [run] is [percent] far. Returns true if it stands still and should be ended. */
    fun standsStill(
        run: Run,
        percent: Int,
        now: Duration,
    ): Boolean {
        val stood = run.progress(percent, now)
        val ran = now - run.orderedAt
        if (percent > 0) slow.drags(now, ran * PERCENT_WHOLE / percent, run.estimate)
        if (run.state != RunState.RUNNING || stood < maxOf(LEAST_STANDSTILL, run.estimate * STANDSTILL_SHARE)) return false
        failing.note(now, failed = true)
        return true
    }

    private fun Double.rounded() = Math.round(this * RATE_DIGITS) / RATE_DIGITS

    private companion object {
        /** A run whose progress is the same for this long stands still; lists come every 150 ms at least. */
        val LEAST_STANDSTILL = 320.milliseconds

        /** The same as a share of the estimate, which may be too small by half: progress is told in whole percent. */
        const val STANDSTILL_SHARE = 0.2
        const val PERCENT_WHOLE = 100
        const val RATE_DIGITS = 100.0
    }
}
