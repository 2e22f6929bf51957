package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** What a member did with a part of a snapshot. */
@Serializable
data class SnapshotResponse(
    /** Term of the member. */
    val term: Long,
    /** The round that it answers. */
    val round: Long,
    /** Where the next part starts (characters). */
    val nextOffset: Int,
    /** True once the whole snapshot is synced. */
    val installed: Boolean,
)
