package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** One member of the control cluster. */
@Serializable
data class MemberStatus(
    val member: MemberId,
    val address: Address,
    /** False for a learner. */
    val voting: Boolean,
    /** Last index that the leader knows to be synced to disk at the member. */
    val matchIndex: Long? = null,
)
