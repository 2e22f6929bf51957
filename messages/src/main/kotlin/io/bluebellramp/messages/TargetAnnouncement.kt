package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import kotlinx.serialization.Serializable

/** The announcement of a target to its agent. */
@Serializable
data class TargetAnnouncement(
    val target: TargetId,
    val service: ServiceId,
    val address: Address,
)
