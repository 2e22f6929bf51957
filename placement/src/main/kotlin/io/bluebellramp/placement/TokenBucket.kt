package io.bluebellramp.placement

/** Tokens that come in as a share of an event and are spent whole. */
internal class TokenBucket(
    private val share: Double,
    private val capacity: Double,
) {
    private var tokens = capacity

    fun fill() {
        tokens = minOf(capacity, tokens + share)
    }

    fun trySpend(): Boolean {
        if (tokens < 1.0) return false
        tokens -= 1.0
        return true
    }
}
