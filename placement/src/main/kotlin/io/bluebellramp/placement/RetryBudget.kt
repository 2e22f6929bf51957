package io.bluebellramp.placement

/**
 * Bounds the retries of idempotent requests to a share of the requests, so that retries never multiply an overload.
 *
 * @param share retries as a share of the requests, from 0 to 1
 * @param burst retries that may come at once after a quiet time; none if [share] is 0
 */
class RetryBudget(
    share: Double,
    burst: Int = BURST,
) {
    private val bucket = TokenBucket(share = share, capacity = if (share > 0.0) burst.toDouble() else 0.0)

    /** Notes a first attempt. */
    fun requested() = bucket.fill()

    /** Spends one retry and returns true, or returns false if none is left. */
    fun tryRetry(): Boolean = bucket.trySpend()

    /** Defaults. */
    companion object {
        /** Retries that may come at once. */
        const val BURST = 10
    }
}
