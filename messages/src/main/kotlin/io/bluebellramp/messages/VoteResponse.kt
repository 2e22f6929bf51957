package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The vote of a member. */
@Serializable
data class VoteResponse(
    /** Term of the member. */
    val term: Long,
    /** True if it votes for the candidate. */
    val granted: Boolean,
    /** Founding stage of the member. 0 is new; 1 knows that all others were new; 2 takes part. */
    val stage: Int = 0,
)
