package io.bluebellramp.agent

import kotlin.time.Duration

/**
 * Credits of one kind that one connection was granted. No I/O; confined to the coroutine of the core.
 *
 * A recalled credit counts until it is returned or spent. An entry that does not return it in time has lost it.
 */
internal class CreditAccount {
    private var recalledAt = Duration.ZERO

    /** Granted and neither spent nor returned. */
    var unspent = 0
        private set

    /** Those of them that the entry was asked to return. */
    var recalling = 0
        private set

    /** Adds credits. */
    fun grant(credits: Int) {
        unspent += credits
    }

    /** Spends a credit if there is one. */
    fun spend(): Boolean {
        if (unspent == 0) return false
        unspent--
        recalling = minOf(recalling, unspent)
        return true
    }

    /** Takes back credits that the entry returned. None is no answer to a recall: the wait for one goes on. */
    fun returned(credits: Int) {
        if (credits <= 0) return
        unspent = (unspent - credits).coerceAtLeast(0)
        recalling = 0
    }

    /** Asks back up to [credits] and tells how many more the entry has to be asked for. */
    fun recall(
        credits: Int,
        now: Duration,
    ): Int {
        val more = credits.coerceIn(0, unspent - recalling)
        if (more > 0) recalledAt = now
        recalling += more
        return more
    }

    /** Takes all credits as lost. */
    fun forget() {
        unspent = 0
        recalling = 0
    }

    /** Writes off what was recalled longer than [patience] ago. */
    fun writeOff(
        now: Duration,
        patience: Duration,
    ) {
        if (recalling == 0 || now - recalledAt < patience) return
        unspent -= recalling
        recalling = 0
    }
}
