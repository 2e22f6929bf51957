package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** An agent asks its target to run something. */
@Serializable
data class TargetCall(
    val submission: SubmissionId,
    /** Index of the task in its job. */
    val task: Int,
    /** Number of the attempt from 0. */
    val attempt: Int,
    val kind: DispatchKind,
    /** Opaque text from the caller. */
    val payload: String,
)
