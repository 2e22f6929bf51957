package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import kotlinx.serialization.Serializable

/** The state of the target of the agent. */
@Serializable
data class TargetState(
    val target: TargetId,
    val service: ServiceId,
    /** False when the target is gone. */
    val present: Boolean,
)
