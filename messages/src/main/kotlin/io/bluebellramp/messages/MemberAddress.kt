package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** A control process and where it listens. */
@Serializable
data class MemberAddress(
    val member: MemberId,
    val address: Address,
)
