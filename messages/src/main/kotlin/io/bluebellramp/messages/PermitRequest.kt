package io.bluebellramp.messages

import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** The request of an agent for a permit. */
@Serializable
data class PermitRequest(
    /** Number of the request. The agent uses it to look up when it sent the request. */
    val sequence: Long,
    val revision: Revision,
)
