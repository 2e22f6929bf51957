package io.bluebellramp.placement

/**
 * Limits retries of idempotent requests to a share of the requests, so that retries do not amplify an overload.
 *
 * @param share allowed retries as a share of the requests, from 0 to 1
 * @param burst number of retries allowed at once after a period without retries; ignored if [share] is 0
 */
class RetryBudget(
    share: Double,
    burst: Int = DEFAULT_BURST,
) {
    private val bucket = TokenBucket(share = share, capacity = if (share > 0.0) burst.toDouble() else 0.0)

    /** Records the first attempt of a request. */
    fun onFirstAttempt() = bucket.refill()

    /** Takes one retry from the budget. Returns false if the budget is exhausted. */
    fun tryRetry(): Boolean = bucket.trySpend()

    /** Default settings. */
    companion object {
        /** Number of retries allowed at once. */
        const val DEFAULT_BURST = 10
    }
}
