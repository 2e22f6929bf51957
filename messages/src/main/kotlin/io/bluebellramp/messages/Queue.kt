package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** Where callers hand in jobs for a service. */
@Serializable
data class Queue(
    val name: String,
    /** Value of the Host header. */
    val host: String,
    /** Start of the path. */
    val prefix: String,
    val service: ServiceId,
    /** 0 goes first. */
    val priority: Int = 0,
    /** Failed runs after which a task has failed. */
    val attempts: Int = 1,
    /** Share of the run time that an answer may take and still be in time. */
    val stretch: Double = 1.0,
    /** Time on top of the stretched run time (ms). */
    val allowanceMillis: Long = 0,
    /** Longest time for an answer (ms). 0 sets no bound. */
    val callMillis: Long = 0,
)
