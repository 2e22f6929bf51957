package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** One task of a job. */
@Serializable
data class TaskSpecification(
    /** Unique in the job. */
    val id: String,
    /** Opaque text for the target. */
    val payload: String,
    /** Expected run time (ms). A hint only. */
    val declaredMillis: Long? = null,
    /** Expected memory (MB). */
    val declaredMegabytes: Int? = null,
)
