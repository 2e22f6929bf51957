package io.bluebellramp.placement

import io.bluebellramp.core.EntryId

/** Grants free slots in turn to the entries that have more waiting tasks than unspent credits. */
class DemandGrantPolicy : GrantPolicy {
    override fun decide(
        free: Int,
        entries: List<EntryStanding>,
    ): GrantDecision {
        val grants = HashMap<EntryId, Int>()
        var left = free
        var granted = true
        while (left > 0 && granted) {
            granted = false
            for (standing in entries) {
                val held = standing.unspent + (grants[standing.entry] ?: 0)
                if (left > 0 && held < standing.demand.tasks) {
                    grants.merge(standing.entry, 1, Int::plus)
                    left--
                    granted = true
                }
            }
        }
        return GrantDecision(grants = grants, recalls = emptyMap())
    }
}
