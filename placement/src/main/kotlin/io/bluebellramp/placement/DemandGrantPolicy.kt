package io.bluebellramp.placement

import io.bluebellramp.core.EntryId

/** Grants free slots round-robin to the entries that have more waiting tasks than unspent credits. */
class DemandGrantPolicy : GrantPolicy {
    override fun decide(
        free: Int,
        entries: List<EntryStanding>,
    ): GrantDecision {
        val grants = HashMap<EntryId, Int>()
        var remaining = free
        var hasGranted = true
        while (remaining > 0 && hasGranted) {
            hasGranted = false
            for (standing in entries) {
                val held = standing.unspent + (grants[standing.entry] ?: 0)
                if (remaining > 0 && held < standing.demand.tasks) {
                    grants.merge(standing.entry, 1, Int::plus)
                    remaining--
                    hasGranted = true
                }
            }
        }
        return GrantDecision(grants = grants, recalls = emptyMap())
    }
}
