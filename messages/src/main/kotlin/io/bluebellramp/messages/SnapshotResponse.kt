package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The response of a member to a part of a snapshot. */
@Serializable
data class SnapshotResponse(
    /** Term of the member. */
    val term: Long,
    /** Number of the round of the request. */
    val round: Long,
    /** Offset of the next part (characters). */
    val nextOffset: Int,
    /** True once the whole snapshot is synced to disk. */
    val installed: Boolean,
)
