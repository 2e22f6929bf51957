package io.bluebellramp.messages

import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** An agent asks for a permit. */
@Serializable
data class PermitRequest(
    /** Number of the request, from which the agent knows when it sent it. */
    val sequence: Long,
    val revision: Revision,
)
