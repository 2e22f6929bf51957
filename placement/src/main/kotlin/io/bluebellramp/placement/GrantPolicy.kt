package io.bluebellramp.placement

import io.bluebellramp.core.EntryId

/**
 * The standing of one entry at an agent.
 *
 * @property unspent credits granted to the entry and neither spent nor returned
 * @property demand what waits there, as last reported
 * @property recalled how many of the unspent credits have been asked back without an answer yet
 */
data class EntryStanding(
    val entry: EntryId,
    val unspent: Int,
    val demand: QueueDemand,
    val recalled: Int = 0,
)

/**
 * What an agent should tell its entries now.
 *
 * @property grants credits to add, by entry
 * @property recalls credits to ask back, by entry
 */
data class GrantDecision(
    val grants: Map<EntryId, Int>,
    val recalls: Map<EntryId, Int>,
)

/** Shares the free slots of one executor between the entries. No I/O. */
interface GrantPolicy {
    /**
     * Decides who gets the free slots.
     *
     * @param free slots, and places in the short queue of the agent, that are neither used nor granted
     */
    fun decide(
        free: Int,
        entries: List<EntryStanding>,
    ): GrantDecision
}
