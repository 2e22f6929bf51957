package io.bluebellramp.messages

import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** The request of a member for a vote. */
@Serializable
data class VoteRequest(
    /** Term of the election. */
    val term: Long,
    val candidate: MemberId,
    /** Last index of the candidate. */
    val lastIndex: Long,
    /** Term of that index. */
    val lastTerm: Long,
    /** True for a pre-vote. It changes no state. */
    val preVote: Boolean,
    /** True if the request asks only for the founding stage and not for a vote. */
    val founding: Boolean = false,
)
