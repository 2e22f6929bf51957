package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The vote of a member. */
@Serializable
data class VoteResponse(
    /** Term of the member. */
    val term: Long,
    /** True if it votes for the candidate. */
    val granted: Boolean,
)
