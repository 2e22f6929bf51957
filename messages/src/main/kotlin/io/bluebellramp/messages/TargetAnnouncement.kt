package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import kotlinx.serialization.Serializable

/** A target tells its agent that it is there. */
@Serializable
data class TargetAnnouncement(
    val target: TargetId,
    val service: ServiceId,
    val address: Address,
)
