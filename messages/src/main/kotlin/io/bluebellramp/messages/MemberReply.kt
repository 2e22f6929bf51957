package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The answer to a MemberCall. Without a body the member did not answer. */
@Serializable
data class MemberReply(
    /** Number of the call. */
    val id: Long,
    val vote: VoteResponse? = null,
    val append: AppendResponse? = null,
    val snapshot: SnapshotResponse? = null,
)
