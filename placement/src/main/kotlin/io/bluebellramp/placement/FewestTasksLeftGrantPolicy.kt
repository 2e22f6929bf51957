package io.bluebellramp.placement

/**
 * Grants free slots to the entry whose next job has the fewest unfinished tasks, so that jobs run in the same order across entries.
 *
 * Slots without demand are granted in advance, which saves a round trip when the next job arrives. These credits are recalled when
 * another entry has demand and no slot is free.
 *
 * @param grantsAhead whether to grant slots ahead of demand
 */
class FewestTasksLeftGrantPolicy(
    private val grantsAhead: Boolean = true,
) : GrantPolicy {
    private class EntryAllocation(
        val creditState: EntryCreditState,
    ) {
        var granted = 0
        var recalled = 0

        /** Credits that the entry will hold once all grants and recalls have taken effect. */
        val held get() = creditState.unspent - creditState.recalled - recalled + granted

        /** Number of waiting tasks without a credit. */
        val unmetDemand get() = maxOf(0, creditState.demand.tasks - held)

        /** Number of credits without a waiting task. */
        val idleCredits get() = maxOf(0, held - creditState.demand.tasks)
    }

    override fun decide(
        free: Int,
        entries: List<EntryCreditState>,
    ): GrantDecision {
        val allocations = entries.map { EntryAllocation(it) }
        val remaining = grantByDemand(free, allocations)
        if (remaining > 0 && grantsAhead) grantAhead(remaining, allocations)
        if (remaining <= 0) recall(allocations)
        return GrantDecision(
            grants = allocations.filter { it.granted > 0 }.associate { it.creditState.entry to it.granted },
            recalls = allocations.filter { it.recalled > 0 }.associate { it.creditState.entry to it.recalled },
        )
    }

    private fun grantByDemand(
        free: Int,
        allocations: List<EntryAllocation>,
    ): Int {
        var remaining = free
        for (allocation in allocations.filter { it.unmetDemand > 0 }.sortedBy { it.creditState.demand.tasksLeft }) {
            val granted = minOf(remaining, allocation.unmetDemand)
            allocation.granted += maxOf(0, granted)
            remaining -= maxOf(0, granted)
        }
        return remaining
    }

    private fun grantAhead(
        free: Int,
        allocations: List<EntryAllocation>,
    ) {
        repeat(free) { allocations.minByOrNull { it.held }?.let { it.granted++ } }
    }

    private fun recall(allocations: List<EntryAllocation>) {
        var needed = allocations.sumOf { it.unmetDemand } - allocations.sumOf { it.creditState.recalled }
        for (allocation in allocations.sortedByDescending { it.idleCredits }) {
            val recalled = minOf(needed, allocation.idleCredits)
            if (recalled <= 0) continue
            allocation.recalled += recalled
            needed -= recalled
        }
    }
}
