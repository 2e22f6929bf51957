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
    /** The tasks. The results have the same order. */
    val tasks: List<TaskSpecification>,
    val team: TeamId? = null,
    /** Time from arrival after which the caller no longer needs the answer (ms). */
    val deadlineMillis: Long? = null,
    /** True if tasks may run more than once without harm. */
    val idempotent: Boolean = false,
)
