package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** What a target answers, with the ids of the call so that a crossed answer is seen. */
@Serializable
data class TargetAnswer(
    val submission: SubmissionId,
    /** Index of the task in its job. */
    val task: Int,
    /** Number of the attempt from 0. */
    val attempt: Int,
    /** Opaque text for the caller. */
    val result: String,
)
