package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** A control process and its address. */
@Serializable
data class MemberAddress(
    val member: MemberId,
    val address: Address,
)
