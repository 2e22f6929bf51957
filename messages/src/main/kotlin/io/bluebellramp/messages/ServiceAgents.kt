package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** The agents whose targets offer one service. */
@Serializable
data class ServiceAgents(
    val service: ServiceId,
    /** Number of agents. */
    val agents: Int,
)
