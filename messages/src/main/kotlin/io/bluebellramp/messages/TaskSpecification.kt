package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** One task of a job. */
@Serializable
data class TaskSpecification(
    /** Id of the task. It is unique in the job. */
    val id: String,
    /** Opaque text for the target. */
    val payload: String,
    /** Expected run time (ms). It is only a hint. */
    val declaredMillis: Long? = null,
    /** Expected memory (MB). */
    val declaredMegabytes: Int? = null,
)
