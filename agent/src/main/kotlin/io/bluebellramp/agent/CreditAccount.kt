package io.bluebellramp.agent

import kotlin.time.Duration

/**
 * The credits of one kind that were granted on one connection. No I/O; confined to the coroutine of the core.
 *
 * A recalled credit counts until the entry returns or spends it, or until the recall times out.
 */
internal class CreditAccount {
    private var recalledAt = Duration.ZERO

    /** Credits that were granted and neither spent nor returned. */
    var unspent = 0
        private set

    /** Unspent credits that the entry was asked to return. */
    var pendingRecall = 0
        private set

    /** Adds [credits] newly granted credits. */
    fun grant(credits: Int) {
        unspent += credits
    }

    /** Spends a credit and returns true, or returns false if there is none. */
    fun spend(): Boolean {
        if (unspent == 0) return false
        unspent--
        pendingRecall = minOf(pendingRecall, unspent)
        return true
    }

    /** Removes credits that the entry returned. Returning none does not answer a recall, so its timeout keeps running. */
    fun takeBack(credits: Int) {
        if (credits <= 0) return
        unspent = (unspent - credits).coerceAtLeast(0)
        pendingRecall = 0
    }

    /** Recalls up to [credits] and returns how many more the entry must be asked to return. */
    fun recall(
        credits: Int,
        now: Duration,
    ): Int {
        val additional = credits.coerceIn(0, unspent - pendingRecall)
        if (additional > 0) recalledAt = now
        pendingRecall += additional
        return additional
    }

    /** Discards all credits. */
    fun clear() {
        unspent = 0
        pendingRecall = 0
    }

    /** Discards the credits whose recall has gone unanswered for [timeout]. */
    fun expireRecall(
        now: Duration,
        timeout: Duration,
    ) {
        if (pendingRecall == 0 || now - recalledAt < timeout) return
        unspent -= pendingRecall
        pendingRecall = 0
    }
}
