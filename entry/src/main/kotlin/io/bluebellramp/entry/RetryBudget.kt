package io.bluebellramp.entry

/** Limits retries to a share of the work, so that a fault does not multiply the load. */
internal class RetryBudget {
    private var tokens = INITIAL_TOKENS

    /** Adds the share that new work earns. */
    fun earn(share: Double) {
        tokens = minOf(MAX_TOKENS, tokens + share)
    }

    /** Takes one retry out of the budget, or returns false if it is used up. */
    fun spend(): Boolean {
        if (tokens < 1) return false
        tokens--
        return true
    }

    private companion object {
        const val INITIAL_TOKENS = 10.0
        const val MAX_TOKENS = 100.0
    }
}
