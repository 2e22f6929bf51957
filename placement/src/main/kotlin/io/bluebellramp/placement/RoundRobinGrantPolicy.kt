package io.bluebellramp.placement

import io.bluebellramp.core.EntryId

/** Grants free slots round-robin to the entries that have more waiting tasks than unspent credits. */
class RoundRobinGrantPolicy : GrantPolicy {
    override fun decide(
        free: Int,
        entries: List<EntryCreditState>,
    ): GrantDecision {
        val grants = HashMap<EntryId, Int>()
        var remaining = free
        var hasGranted = true
        while (remaining > 0 && hasGranted) {
            hasGranted = false
            for (creditState in entries) {
                val held = creditState.unspent + (grants[creditState.entry] ?: 0)
                if (remaining > 0 && held < creditState.demand.tasks) {
                    grants.merge(creditState.entry, 1, Int::plus)
                    remaining--
                    hasGranted = true
                }
            }
        }
        return GrantDecision(grants = grants, recalls = emptyMap())
    }
}
