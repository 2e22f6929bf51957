package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The reply to a MemberCall. A reply without a body means that the member did not answer. */
@Serializable
data class MemberReply(
    /** Number of the call. */
    val id: Long,
    val vote: VoteResponse? = null,
    val append: AppendResponse? = null,
    val snapshot: SnapshotResponse? = null,
)
