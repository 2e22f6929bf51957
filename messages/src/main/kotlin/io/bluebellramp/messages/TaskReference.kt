package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** One attempt at one task. */
@Serializable
data class TaskReference(
    val submission: SubmissionId,
    /** Index of the task in its job. */
    val task: Int,
    /** Number of the attempt. The first is 0. */
    val attempt: Int,
)
