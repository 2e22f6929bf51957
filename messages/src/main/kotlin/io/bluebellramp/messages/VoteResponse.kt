package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The vote of a member. */
@Serializable
data class VoteResponse(
    /** Term of the member. */
    val term: Long,
    /** True if the member votes for the candidate. */
    val granted: Boolean,
    /** Founding stage of the member. 0: it is new. 1: it knows that all other members were new. 2: it is active. */
    val stage: Int = 0,
)
