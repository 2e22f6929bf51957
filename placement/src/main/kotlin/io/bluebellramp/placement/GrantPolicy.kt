package io.bluebellramp.placement

import io.bluebellramp.core.EntryId

/**
 * The credits and demand of one entry at an agent.
 *
 * @property unspent number of granted credits that were neither spent nor returned
 * @property demand demand last reported by the entry
 * @property recalled number of unspent credits that were recalled and not returned yet
 */
data class EntryCreditState(
    val entry: EntryId,
    val unspent: Int,
    val demand: QueueDemand,
    val recalled: Int = 0,
)

/**
 * The credits that an agent should grant and recall now.
 *
 * @property grants number of credits to grant, by entry
 * @property recalls number of credits to recall, by entry
 */
data class GrantDecision(
    val grants: Map<EntryId, Int>,
    val recalls: Map<EntryId, Int>,
)

/** Divides the free slots of one executor among the entries. Does no I/O. */
interface GrantPolicy {
    /**
     * Decides which entries get the free slots and which must return credits.
     *
     * @param free number of slots, and of places in the short queue of the agent, that are neither used nor granted
     */
    fun decide(
        free: Int,
        entries: List<EntryCreditState>,
    ): GrantDecision
}
