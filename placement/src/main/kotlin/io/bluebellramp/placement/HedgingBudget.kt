package io.bluebellramp.placement

import kotlin.time.Duration

/**
 * Limits hedged attempts of idempotent requests to a share of the requests, and to requests that are slow for their service.
 *
 * @param share allowed hedged attempts as a share of the requests, from 0 to 1; 0 disables hedging
 * @param model learned run times of the service
 */
class HedgingBudget(
    share: Double,
    private val model: RunTimeModel,
    burst: Int = RetryBudget.DEFAULT_BURST,
) {
    private val bucket = TokenBucket(share = share, capacity = if (share > 0.0) burst.toDouble() else 0.0)

    /** Time after which a second attempt is worth its cost. */
    val delay: Duration get() = model.quantile(SLOW_QUANTILE)

    /** Records the first attempt of a request. */
    fun requested() = bucket.refill()

    /** Takes one hedged attempt from the budget for a request that has run for [ran]. Returns false if it is too early or none is left. */
    fun tryHedge(ran: Duration): Boolean = ran >= delay && bucket.trySpend()

    private companion object {
        const val SLOW_QUANTILE = 0.95
    }
}
