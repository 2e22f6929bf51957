package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import kotlinx.serialization.Serializable

/** The target beside the agent. */
@Serializable
data class TargetState(
    val target: TargetId,
    val service: ServiceId,
    /** False when the target has gone. */
    val present: Boolean,
)
