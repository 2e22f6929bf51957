package io.bluebellramp.messages

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** One attempt at a task, for one incarnation of one agent. */
@Serializable
data class Dispatch(
    val submission: SubmissionId,
    /** Index of the task in its job. */
    val task: Int,
    /** Number of the attempt from 0. */
    val attempt: Int,
    val incarnation: IncarnationId,
    val kind: DispatchKind,
    /** Opaque text for the target. */
    val payload: String,
    /** Time left until the deadline (ms). */
    val remainingMillis: Long,
    /** True if it may run twice without harm. */
    val idempotent: Boolean = false,
)
