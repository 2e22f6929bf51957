package io.bluebellramp.placement

/**
 * Grants free slots to the entry whose best waiting job has the fewest tasks left, so that the order between jobs holds across
 * entries.
 *
 * Slots that nobody waits for are granted ahead of demand as standing credits, which saves a round trip when the next job
 * comes. They are recalled when another entry has demand and no slot is free.
 *
 * @param standing whether to grant ahead of demand
 */
class BestJobGrantPolicy(
    private val standing: Boolean = true,
) : GrantPolicy {
    private class Share(
        val standing: EntryStanding,
    ) {
        var granted = 0
        var recalled = 0

        /** Credits that the entry holds or will hold. */
        val held get() = standing.unspent - standing.recalled - recalled + granted

        /** Waiting tasks without a credit. */
        val wanting get() = maxOf(0, standing.demand.tasks - held)

        /** Credits without a waiting task. */
        val idle get() = maxOf(0, held - standing.demand.tasks)
    }

    override fun decide(
        free: Int,
        entries: List<EntryStanding>,
    ): GrantDecision {
        val shares = entries.map { Share(it) }
        val left = grantByDemand(free, shares)
        if (left > 0 && standing) grantAhead(left, shares)
        if (left <= 0) recall(shares)
        return GrantDecision(
            grants = shares.filter { it.granted > 0 }.associate { it.standing.entry to it.granted },
            recalls = shares.filter { it.recalled > 0 }.associate { it.standing.entry to it.recalled },
        )
    }

    private fun grantByDemand(
        free: Int,
        shares: List<Share>,
    ): Int {
        var left = free
        for (share in shares.filter { it.wanting > 0 }.sortedBy { it.standing.demand.tasksLeft }) {
            val granted = minOf(left, share.wanting)
            share.granted += maxOf(0, granted)
            left -= maxOf(0, granted)
        }
        return left
    }

    private fun grantAhead(
        free: Int,
        shares: List<Share>,
    ) {
        repeat(free) { shares.minByOrNull { it.held }?.let { it.granted++ } }
    }

    private fun recall(shares: List<Share>) {
        var due = shares.sumOf { it.wanting } - shares.sumOf { it.standing.recalled }
        for (share in shares.sortedByDescending { it.idle }) {
            val recalled = minOf(due, share.idle)
            if (recalled <= 0) continue
            share.recalled += recalled
            due -= recalled
        }
    }
}
