package io.bluebellramp.jobs

import io.bluebellramp.core.Clock
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The lease on all runs at a target. Tracks the clock of the target and whether it can be reached.
 *
 * A target ends all runs by itself when the lease expires. Lease calls extend it and return the state of the runs.
 *
 * @param duration time from the grant of a lease to its end, on the clock of the target
 * @param longest time after which a target ends runs whatever end of the lease it was told
 */
internal class TargetLease(
    private val clock: Clock,
    private val duration: Duration,
    private val longest: Duration = duration,
) {
    private var targetClock: TargetClock? = null

    /** Send time of the last answered call. */
    private var lastAnsweredCallAt = Duration.ZERO

    /** Local time by which every granted lease has expired. */
    private var expiresBy = Duration.ZERO
    private var lastCallNumber = 0L
    private var lastCallAt = Duration.ZERO

    /** True while a lease call is in progress. */
    var isCallOpen = false
        private set

    /** True while the target answers lease calls. */
    var isReachable = false
        private set

    /** True while the clock of the target is known. */
    val isClockKnown: Boolean get() = targetClock != null

    /**
     * Returns the end of a lease granted at [now] on the clock of the target, or null if that clock is unknown.
     *
     * @param limit local time by which the lease must have ended; if it has passed, no lease can be granted and null is returned
     */
    fun leaseEndFrom(
        now: Duration,
        limit: Duration = Duration.INFINITE,
    ): Duration? = targetClock?.takeIf { limit > now }?.let { minOf(it.earliestAt(now) + duration, it.earliestAt(limit)) }

    /** Records that a lease is granted at [now], by a lease call or with an order to start. */
    fun granted(now: Duration) {
        expiresBy = maxOf(expiresBy, now + duration * TargetClock.MAX_DRIFT_FACTOR + EXPIRY_MARGIN)
    }

    /** Records that a lease call is made. Returns its number. */
    fun callStarted(): Long {
        isCallOpen = true
        lastCallAt = clock.monotonic()
        return ++lastCallNumber
    }

    /** Returns whether the next call is due after one that was not answered. */
    fun isRetryDue(now: Duration) = !isCallOpen && now - lastCallAt >= RETRY_DELAY

    /** Returns whether [call] is the latest one and was made to the current target. */
    fun isLatestCall(call: Long) = call == lastCallNumber

    /** Records that the latest call ended, with or without an answer. */
    fun callEnded() {
        isCallOpen = false
    }

    /**
     * Records that the call sent at [sentAt] was answered at [targetTime] on the clock of the target. Returns true if the target was
     * unreachable before.
     */
    fun callAnswered(
        targetTime: Duration,
        sentAt: Duration,
    ): Boolean {
        targetClock = TargetClock(targetTime, clock.monotonic())
        lastAnsweredCallAt = sentAt
        return !isReachable.also { isReachable = true }
    }

    /** Marks the target as unreachable if it has not answered for too long, and then returns for how long. Returns null otherwise. */
    fun detectSilence(now: Duration): Duration? {
        val silence = now - lastAnsweredCallAt
        if (!isReachable || silence <= UNREACHABLE_AFTER) return null
        isReachable = false
        return silence
    }

    /** Returns whether the target is unreachable and every lease has expired, so that it has ended all runs by itself. */
    fun hasLapsed(now: Duration) = !isReachable && allExpired(now)

    /** Returns whether every lease has expired unless the target was given another one by somebody else. */
    fun allExpired(now: Duration) = expiresBy < now

    /**
     * Records that the target answered as a new life at [now]. The clock of the former life was ahead of the new one, so a lease granted by it
     * may last as long as the target permits.
     */
    fun targetRestarted(now: Duration) {
        targetClock = null
        expiresBy = maxOf(expiresBy, now + longest * TargetClock.MAX_DRIFT_FACTOR + EXPIRY_MARGIN)
    }

    /** Discards the clock of the target until the next answer. */
    fun forgetClock() {
        targetClock = null
    }

    /** Resets the state because the target was replaced. Granted leases remain in force. */
    fun reset() {
        targetClock = null
        isReachable = false
        isCallOpen = false
        lastCallNumber++
    }

    private companion object {
        /**
         * Delay after a call without an answer. A target that is down refuses connections at once, so a restart would otherwise cause a
         * hundred calls.
         */
        val RETRY_DELAY = 30.milliseconds

        /** A target without an answer for this long gets no new runs. */
        val UNREACHABLE_AFTER = 450.milliseconds

        /** Added to the expiry of a lease for the time to end the runs, which the platform limits to 50 ms. */
        val EXPIRY_MARGIN = 100.milliseconds
    }
}
