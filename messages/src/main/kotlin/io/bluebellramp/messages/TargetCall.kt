package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** The call of an agent to its target to run a task or a request. */
@Serializable
data class TargetCall(
    val submission: SubmissionId,
    /** Index of the task in its job. */
    val task: Int,
    /** Number of the attempt. The first is 0. */
    val attempt: Int,
    val kind: DispatchKind,
    /** Opaque text from the caller. */
    val payload: String,
)
