package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A part of a snapshot. */
@Serializable
data class SnapshotRequest(
    /** Term of the leader. */
    val term: Long,
    val leader: MemberAddress,
    /** Number of the round. */
    val round: Long,
    /** Last index that the snapshot covers. */
    val lastIndex: Long,
    /** Term of that index. */
    val lastTerm: Long,
    val membership: Membership,
    /** Offset of the part in the snapshot (characters). */
    val offset: Int,
    /** The text of the part. */
    val body: String,
    /** True for the last part. */
    val last: Boolean,
)
