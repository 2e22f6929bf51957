package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** The answer of a target. It repeats the ids of the call so that the agent detects an answer to another call. */
@Serializable
data class TargetAnswer(
    val submission: SubmissionId,
    /** Index of the task in its job. */
    val task: Int,
    /** Number of the attempt. The first is 0. */
    val attempt: Int,
    /** Opaque text for the caller. */
    val result: String,
)
