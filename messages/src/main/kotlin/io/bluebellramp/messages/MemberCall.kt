package io.bluebellramp.messages

import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** A call of the replication protocol to one member. */
@Serializable
data class MemberCall(
    /** Number of the call on its connection. */
    val id: Long,
    val to: MemberId,
    val vote: VoteRequest? = null,
    val append: AppendRequest? = null,
    val snapshot: SnapshotRequest? = null,
)
