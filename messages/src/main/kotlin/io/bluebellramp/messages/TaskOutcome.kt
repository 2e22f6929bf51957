package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** What became of one attempt. */
@Serializable
data class TaskOutcome(
    val submission: SubmissionId,
    /** Index of the task in its job. */
    val task: Int,
    /** Number of the attempt from 0. */
    val attempt: Int,
    val status: TaskStatus,
    /** The text that the target answered. */
    val result: String? = null,
    /** Why it did not run or failed. */
    val reason: String? = null,
    /** Run time at the target (us). */
    val ranMicros: Long = 0,
)
