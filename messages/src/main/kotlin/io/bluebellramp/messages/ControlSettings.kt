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
    /** Folder for the replicated log and the snapshots. */
    val dataFolder: String,
    /** The initial members of the cluster. Ignored once the data folder contains a membership. */
    val members: List<MemberAddress>,
    val advertised: Address? = null,
    /** True to connect to other members from the IP address on which the process listens. */
    val bindOutgoing: Boolean = false,
    /** True for a new member without data that waits to be added to the cluster. */
    val joining: Boolean = false,
    /** How long a permit is valid (ms). */
    val permitLifeMillis: Long = 2000,
    /** Minimum election timeout (ms). */
    val electionMillis: Long = 400,
    /** Interval between heartbeats of the leader (ms). */
    val heartbeatMillis: Long = 125,
    /** Number of records in the log that triggers a snapshot. */
    val snapshotRecords: Int = 2000,
    /** Maximum number of claims that the process holds. Beyond it no claim for a new submission is granted. */
    val mostClaims: Int = 700000,
    /** File with the shared secret. If absent, authentication is disabled, which is allowed on loopback only. */
    val keyFile: String? = null,
    /** Folder for the log file. If absent, the log goes to the console. */
    val logFolder: String? = null,
)
