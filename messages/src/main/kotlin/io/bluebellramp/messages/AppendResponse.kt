package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** What a member did with records. */
@Serializable
data class AppendResponse(
    /** Term of the member. */
    val term: Long,
    /** The round that it answers. */
    val round: Long,
    /** False if the previous record did not match. */
    val accepted: Boolean,
    /** Last synced index that matches the leader if accepted or else the place from which to try again. */
    val lastIndex: Long,
)
