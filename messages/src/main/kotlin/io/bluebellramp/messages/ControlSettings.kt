package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** Settings of a control process. */
@Serializable
data class ControlSettings(
    val member: MemberId,
    val zone: ZoneId,
    val listen: Address,
    /** Folder of the log and snapshots. */
    val dataFolder: String,
    /** The first members of the cluster. Ignored once the data folder holds a membership. */
    val members: List<MemberAddress>,
    val advertised: Address? = null,
    /** True to send to other members from the IP number that the process listens on. */
    val bindOutgoing: Boolean = false,
    /** True for a member that starts empty and waits to be added. */
    val joining: Boolean = false,
    /** How long a permit is good for (ms). */
    val permitLifeMillis: Long = 2000,
    /** Shortest time without a leader before an election (ms). */
    val electionMillis: Long = 400,
    /** Time between heartbeats of the leader (ms). */
    val heartbeatMillis: Long = 125,
    /** Records in the log that trigger a snapshot. */
    val snapshotRecords: Int = 2000,
    /** Claims that the process holds at most. Beyond that it grants no new submission. */
    val mostClaims: Int = 700000,
    /** File with the shared secret. Absent switches authentication off which is possible on loopback only. */
    val keyFile: String? = null,
    /** Folder for the log file. Absent logs to the console. */
    val logFolder: String? = null,
)
