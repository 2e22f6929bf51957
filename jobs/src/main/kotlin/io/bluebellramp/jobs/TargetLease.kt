package io.bluebellramp.jobs

import io.bluebellramp.core.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The lease on everything that runs at a target, and what its answers tell of the target's clock and of whether it can be reached.
 *
 * @param length how long the lease goes on after it was given, on the target's clock
 */
internal class TargetLease(
    private val clock: Clock,
    private val length: Duration,
) {
    private var targetClock: TargetClock? = null

    /** When the last answered call was sent. */
    private var answeredAt = Duration.ZERO

    /** By when every lease given so far has run out. */
    private var givenUntil = Duration.ZERO
    private var lastCall = 0L
    private var askedAt = Duration.ZERO

    /** True while a call is under way. */
    var isAsked = false
        private set

    /** True while the target answers. */
    var isReachable = false
        private set

    /** Returns the end of a lease given at [now], on the target's clock, or null while that is not known. */
    fun nextEnd(now: Duration): Duration? = targetClock?.let { it.at(now) + length }

    /** A lease goes out at [now], alone or with an order to start. */
    fun given(now: Duration) {
        givenUntil = maxOf(givenUntil, now + length * TargetClock.SLOWEST + LAPSE_MARGIN)
    }

    /** A call goes out; returns its number. */
    fun ask(): Long {
        isAsked = true
        askedAt = clock.monotonic()
        return ++lastCall
    }

    /** Tells whether it is time to ask after a call without an answer. */
    fun mayAskAgain(now: Duration) = !isAsked && now - askedAt >= ASK_AGAIN

    /** Tells whether [call] is the last one, made to the target of now. */
    fun isLast(call: Long) = call == lastCall

    /** The last call ended, with an answer or without one. */
    fun ended() {
        isAsked = false
    }

    /** The call sent at [sentAt] was answered when the target's clock showed [shown]. Returns true if the target could not be reached before. */
    fun answered(
        shown: Duration,
        sentAt: Duration,
    ): Boolean {
        targetClock = TargetClock(shown, clock.monotonic())
        answeredAt = sentAt
        return !isReachable.also { isReachable = true }
    }

    /** Returns for how long the target has been silent if it counts as unreachable from now on, else null. */
    fun silentFor(now: Duration): Duration? {
        val silence = now - answeredAt
        if (!isReachable || silence <= UNREACHABLE_AFTER) return null
        isReachable = false
        return silence
    }

    /** Tells whether an unreachable target has ended everything by itself. */
    fun hasLapsed(now: Duration) = !isReachable && givenUntil < now

    /** The target's clock is read anew with the next answer. */
    fun forgetClock() {
        targetClock = null
    }

    /** Another target, or another life of it: nothing of the former one counts. Leases that were given run on. */
    fun forget() {
        targetClock = null
        isReachable = false
        isAsked = false
        lastCall++
    }

    private companion object {
        /** Pause after a call without an answer: a target that is gone refuses connections at once, a hundred times in a restart otherwise. */
        val ASK_AGAIN = 30.milliseconds

        /** A target without an answer for this long gets nothing new. */
        val UNREACHABLE_AFTER = 450.milliseconds

        /** Added to the end of a lease on the target's slowest clock, for the time that ending takes (bound by the platform: 50 ms). */
        val LAPSE_MARGIN = 100.milliseconds
    }
}
