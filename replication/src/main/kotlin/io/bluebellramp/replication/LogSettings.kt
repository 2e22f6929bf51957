package io.bluebellramp.replication

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Timing and size limits of one member. All members of a cluster must use the same [electionMillis].
 *
 * @property electionMillis minimum election timeout (ms): the shortest time without contact to a leader before a member starts an election
 * @property heartbeatMillis interval between heartbeats of the leader (ms)
 * @property snapshotRecords number of applied records after which a snapshot replaces them
 * @property snapshotCharacters size of the applied records (characters) after which a snapshot replaces them, if it is not smaller than the last
 * snapshot. A member holds its log in memory, so this and [maxUncommittedCharacters] bound the memory that it needs
 * @property maxUncommittedCharacters size of the uncommitted records (characters) beyond which a leader refuses proposals. A single proposal may be
 * larger
 * @property maxSnapshotChunkCharacters maximum size of the part of a snapshot that one message carries (characters)
 * @property learnerTimeoutMillis longest time that a learner which is to become a voter may leave requests unanswered (ms). After it the
 * membership change is abandoned, so that it does not block other changes
 * @property electsAtStart true if a member may vote and start an election immediately after it started. Safe only if nobody relies on
 * the leader's lease, because a restarted member has forgotten that it recently acknowledged a leader
 * @property messagesCarryReceiverId true if each message carries the id of its receiver and a member whose data folder was emptied returns
 * under a new id. Then no process can answer for another member at the same address, or for the member that lost its state
 */
data class LogSettings(
    val electionMillis: Long = 400,
    val heartbeatMillis: Long = 125,
    val snapshotRecords: Int = 2000,
    val snapshotCharacters: Int = 4 * 1024 * 1024,
    val maxUncommittedCharacters: Int = 4 * 1024 * 1024,
    val maxSnapshotChunkCharacters: Int = 65_536,
    val learnerTimeoutMillis: Long = 60_000,
    val electsAtStart: Boolean = false,
    val messagesCarryReceiverId: Boolean = false,
) {
    internal val electionTimeout: Duration get() = electionMillis.milliseconds

    internal val heartbeatInterval: Duration get() = heartbeatMillis.milliseconds

    internal val learnerTimeout: Duration get() = learnerTimeoutMillis.milliseconds

    /** A leader that has no answers from a majority for this long steps down. */
    internal val stepDownTimeout: Duration get() = electionTimeout * 2

    /** Shorter than the election timeout, so that the lease holds although the clocks of two members differ in rate by up to 5%. */
    internal val leaseDuration: Duration get() = electionTimeout * LEASE_FRACTION

    /**
     * Returns the width of the random delay before the election number [attempt] after a start. It is short at first, because all members
     * may have started at the same time and have no leader yet, and doubles with each attempt up to the election timeout.
     */
    internal fun startupElectionWindow(attempt: Int): Duration =
        minOf(electionTimeout, INITIAL_WINDOW * (1 shl minOf(attempt, MAX_DOUBLINGS)))

    private companion object {
        /** Long enough for several round trips and disk writes, so that two members seldom become candidates at the same time. */
        val INITIAL_WINDOW = 70.milliseconds
        const val MAX_DOUBLINGS = 10
        const val LEASE_FRACTION = 0.95
    }
}
