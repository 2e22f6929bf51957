package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** What waits at an entry for the service of the agent's target. */
@Serializable
data class Demand(
    /** Tasks that wait. */
    val tasks: Int,
    /** Tasks left of the best waiting job. */
    val tasksLeft: Int,
    /** Requests that wait. */
    val requests: Int = 0,
)
