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
 */
data class LogSettings(
    val electionMillis: Long = 400,
    val heartbeatMillis: Long = 125,
    val snapshotRecords: Int = 2000,
    val snapshotPart: Int = 65_536,
) {
    internal val election: Duration get() = electionMillis.milliseconds

    internal val heartbeat: Duration get() = heartbeatMillis.milliseconds

    /** A leader without a majority of answers for this long steps down. */
    internal val stepDown: Duration get() = election * 2

    /** The lease is shorter than the election time, so that clocks may differ in rate by a twentieth. */
    internal val lease: Duration get() = election * LEASE_SHARE

    private companion object {
        const val LEASE_SHARE = 0.95
    }
}
