package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import kotlinx.serialization.Serializable

/** A job of many short tasks. */
@Serializable
data class JobSubmission(
    val submission: SubmissionId,
    val service: ServiceId,
    /** The tasks in the order of the results. */
    val tasks: List<TaskSpecification>,
    val team: TeamId? = null,
    /** Time from arrival after which the answer is of no use (ms). */
    val deadlineMillis: Long? = null,
    /** True if a task may run twice without harm. */
    val idempotent: Boolean = false,
)
