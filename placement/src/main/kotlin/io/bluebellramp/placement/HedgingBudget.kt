package io.bluebellramp.placement

import kotlin.time.Duration

/**
 * Bounds the hedged attempts of idempotent requests to a share of the requests, and to those that are slow for their service.
 *
 * @param share hedged attempts as a share of the requests, from 0 to 1; 0 switches hedging off
 * @param model learned run times of the service
 */
class HedgingBudget(
    share: Double,
    private val model: RunTimeModel,
    burst: Int = RetryBudget.BURST,
) {
    private val bucket = TokenBucket(share = share, capacity = if (share > 0.0) burst.toDouble() else 0.0)

    /** How long an attempt runs before a second one is worth its cost. */
    val delay: Duration get() = model.quantile(SLOW_SHARE)

    /** Notes a first attempt. */
    fun requested() = bucket.fill()

    /** Spends one hedged attempt for a request that has run for [ran] and returns true, or returns false. */
    fun tryHedge(ran: Duration): Boolean = ran >= delay && bucket.trySpend()

    private companion object {
        const val SLOW_SHARE = 0.95
    }
}
