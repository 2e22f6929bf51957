package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The queued work at an entry for the service of the target. */
@Serializable
data class Demand(
    /** Number of queued tasks. */
    val tasks: Int,
    /** Number of unfinished tasks of the best waiting job. It is 0 if none waits. */
    val tasksLeft: Int,
    /** Number of queued requests. */
    val requests: Int = 0,
)
