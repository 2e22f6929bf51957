package io.bluebellramp.placement

import kotlin.math.abs

/**
 * Tells whether a change of demand is worth a message to an agent that would not be sent otherwise.
 *
 * A change counts if it may change what the agent grants: demand appears or vanishes, or the tasks left of the best job change by
 * more than [coarseness]. A message that is sent anyway should carry every change.
 *
 * @param coarseness relative change of the tasks left that does not count
 */
class DemandNews(
    private val coarseness: Double = COARSENESS,
) {
    /** Tells whether [now] is news to an agent that was last told [sent], or nothing. */
    fun isNews(
        sent: QueueDemand?,
        now: QueueDemand,
    ): Boolean {
        val before = sent ?: NOTHING
        if ((before.tasks == 0) != (now.tasks == 0)) return true
        return abs(now.tasksLeft - before.tasksLeft) > before.tasksLeft * coarseness
    }

    /** Defaults. */
    companion object {
        /** Relative change of the tasks left that does not count. */
        const val COARSENESS = 0.2
        private val NOTHING = QueueDemand(tasks = 0, tasksLeft = 0)
    }
}
