package io.bluebellramp.replication

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Timing and size limits of one member. All members of a cluster use the same [electionMillis].
 *
 * @property electionMillis shortest time without a leader before an election (ms)
 * @property heartbeatMillis time between heartbeats of the leader (ms)
 * @property snapshotRecords applied records after which a snapshot replaces them
 * @property snapshotPart longest part of a snapshot in one message (characters)
 * @property learnerSilenceMillis longest time without an answer of a learner that is to vote (ms); then its change is given up, so that
 * others may follow
 * @property electsAtStart true if a member that has just started may vote and stand at once. Only where nobody reads under the leader's
 * lease: what a member promised a leader before it ended is forgotten
 * @property namesReceiver true if messages tell the id that they are for, and a member whose folder was emptied comes back under a new
 * id, so that no process answers for another one at its address or for what it has forgotten
 */
data class LogSettings(
    val electionMillis: Long = 400,
    val heartbeatMillis: Long = 125,
    val snapshotRecords: Int = 2000,
    val snapshotPart: Int = 65_536,
    val learnerSilenceMillis: Long = 60_000,
    val electsAtStart: Boolean = false,
    val namesReceiver: Boolean = false,
) {
    internal val election: Duration get() = electionMillis.milliseconds

    internal val heartbeat: Duration get() = heartbeatMillis.milliseconds

    internal val learnerSilence: Duration get() = learnerSilenceMillis.milliseconds

    /** A leader without a majority of answers for this long steps down. */
    internal val stepDown: Duration get() = election * 2

    /** The lease is shorter than the election time, so that clocks may differ in rate by a twentieth. */
    internal val lease: Duration get() = election * LEASE_SHARE

    /** Returns the span of the chance before the [attempt]th election after a start: short at first, for the members start together. */
    internal fun startSpan(attempt: Int): Duration = minOf(election, START_SPAN * (1 shl minOf(attempt, MOST_DOUBLINGS)))

    private companion object {
        /** Several round trips and writes to disk, so that two members seldom stand at once. */
        val START_SPAN = 70.milliseconds
        const val MOST_DOUBLINGS = 10
        const val LEASE_SHARE = 0.95
    }
}
