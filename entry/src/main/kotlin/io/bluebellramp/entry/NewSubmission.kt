package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TaskSpecification

/**
 * A job or a request that decoded and passed the schema.
 *
 * @property digest SHA-256 of the canonical body in hex
 * @property deadlineMillis time from arrival, or null for the default of the service (ms)
 */
internal data class NewSubmission(
    val id: SubmissionId,
    val digest: String,
    val service: ServiceId,
    val team: TeamId?,
    val kind: DispatchKind,
    val tasks: List<TaskSpecification>,
    val deadlineMillis: Long?,
    val idempotent: Boolean,
) {
    /** Memory of the submission and of its attempts while it is open, estimated. */
    fun bytes(): Long = SUBMISSION_BYTES + tasks.sumOf { TASK_BYTES + it.payload.length }

    private companion object {
        const val SUBMISSION_BYTES = 1_000L

        /** Memory of one task besides its payload: the objects of the task, of its attempt and of its place in the queue. */
        const val TASK_BYTES = 500L
    }
}
