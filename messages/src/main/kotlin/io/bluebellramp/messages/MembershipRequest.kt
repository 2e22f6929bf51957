package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** A change of the members of the control cluster. */
@Serializable
data class MembershipRequest(
    val action: MembershipAction,
    val member: MemberId,
    val address: Address? = null,
    val replaces: MemberId? = null,
)
