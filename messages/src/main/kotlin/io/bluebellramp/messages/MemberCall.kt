package io.bluebellramp.messages

import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** A message of the replicated log. */
@Serializable
data class MemberCall(
    /** Number of the call on its link. */
    val id: Long,
    val to: MemberId,
    val vote: VoteRequest? = null,
    val append: AppendRequest? = null,
    val snapshot: SnapshotRequest? = null,
)
