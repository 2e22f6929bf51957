package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** The outcome of one attempt. */
@Serializable
data class TaskOutcome(
    val submission: SubmissionId,
    /** Index of the task in its job. */
    val task: Int,
    /** Number of the attempt. The first is 0. */
    val attempt: Int,
    val status: TaskStatus,
    /** The text that the target returned. */
    val result: String? = null,
    /** Why the attempt did not run or failed. */
    val reason: String? = null,
    /** Run time at the target (us). */
    val ranMicros: Long = 0,
)
