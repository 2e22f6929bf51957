package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The response of a member to an append request. */
@Serializable
data class AppendResponse(
    /** Term of the member. */
    val term: Long,
    /** Number of the round of the request. */
    val round: Long,
    /** False if the previous record did not match. */
    val accepted: Boolean,
    /** If accepted, the last index that matches the leader and is synced to disk; otherwise the index from which to try again. */
    val lastIndex: Long,
)
