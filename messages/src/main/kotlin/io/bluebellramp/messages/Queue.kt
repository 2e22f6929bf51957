package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** A queue to which callers submit jobs for a service. */
@Serializable
data class Queue(
    val name: String,
    /** Value of the Host header. */
    val host: String,
    /** Prefix of the path. */
    val prefix: String,
    val service: ServiceId,
    /** Priority of the queue. 0 is the highest. */
    val priority: Int = 0,
    /** Number of failed runs after which a task has failed. */
    val attempts: Int = 1,
    /** Factor on the run time in the time objective of a job. The allowance is added to the product. */
    val stretch: Double = 1.0,
    /** Time that is added to the product of stretch and run time (ms). */
    val allowanceMillis: Long = 0,
    /** Maximum time until the answer (ms). 0 means no limit. */
    val callMillis: Long = 0,
)
