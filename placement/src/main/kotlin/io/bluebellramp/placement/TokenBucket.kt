package io.bluebellramp.placement

/** A token bucket in which each recorded event adds [share] of a token, up to [capacity]. */
internal class TokenBucket(
    private val share: Double,
    private val capacity: Double,
) {
    private var tokens = capacity

    fun refill() {
        tokens = minOf(capacity, tokens + share)
    }

    fun trySpend(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
