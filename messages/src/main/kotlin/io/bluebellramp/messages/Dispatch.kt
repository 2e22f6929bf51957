package io.bluebellramp.messages

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** One attempt at a task for one incarnation of an agent. */
@Serializable
data class Dispatch(
    val submission: SubmissionId,
    /** Index of the task in its job. */
    val task: Int,
    /** Number of the attempt. The first is 0. */
    val attempt: Int,
    val incarnation: IncarnationId,
    val kind: DispatchKind,
    /** Opaque text for the target. */
    val payload: String,
    /** Remaining time until the deadline (ms). */
    val remainingMillis: Long,
    /** True if the task may run more than once without harm. */
    val idempotent: Boolean = false,
)
