package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The result of one task. */
@Serializable
data class TaskResult(
    /** The id that the caller gave the task. */
    val id: String,
    /** The text that the target returned. */
    val result: String,
)
