package io.bluebellramp.messages

import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** A member asks for a vote. */
@Serializable
data class VoteRequest(
    /** Term of the election. */
    val term: Long,
    val candidate: MemberId,
    /** Last index of the candidate. */
    val lastIndex: Long,
    /** Term of that index. */
    val lastTerm: Long,
    /** True for a trial that changes no state. */
    val preVote: Boolean,
    /** True if it asks for the founding stage only and for no vote. */
    val founding: Boolean = false,
)
