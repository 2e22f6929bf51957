package io.bluebellramp.placement

import kotlin.math.abs

/**
 * Decides whether a change of demand justifies a separate message to an agent.
 *
 * A change is significant if it may alter what the agent grants: demand appears or vanishes, or the unfinished tasks of the next job
 * change by more than [tolerance]. A message that is sent anyway should carry every change.
 *
 * @param tolerance relative change of the unfinished tasks that is not significant
 */
class DemandChangeFilter(
    private val tolerance: Double = RELATIVE_TOLERANCE,
) {
    /** Returns whether [now] differs significantly from [sent], the demand last reported to the agent, or null if none was. */
    fun isSignificant(
        sent: QueueDemand?,
        now: QueueDemand,
    ): Boolean {
        val before = sent ?: NO_DEMAND
        if ((before.tasks == 0) != (now.tasks == 0)) return true
        return abs(now.tasksLeft - before.tasksLeft) > before.tasksLeft * tolerance
    }

    /** Default settings. */
    companion object {
        /** Relative change of the unfinished tasks that is not significant. */
        const val RELATIVE_TOLERANCE = 0.2
        private val NO_DEMAND = QueueDemand(tasks = 0, tasksLeft = 0)
    }
}
