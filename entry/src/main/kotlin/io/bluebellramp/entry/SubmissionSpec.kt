package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TeamId
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TaskSpecification

/**
 * The content of a valid job or request.
 *
 * @property digest SHA-256 of the type and the canonical body, in hex
 * @property deadlineMillis time allowed from arrival (ms), or null for the default of the service
 */
internal data class SubmissionSpec(
    val id: SubmissionId,
    val digest: String,
    val service: ServiceId,
    val team: TeamId?,
    val kind: DispatchKind,
    val tasks: List<TaskSpecification>,
    val deadlineMillis: Long?,
    val idempotent: Boolean,
) {
    /** Estimated memory of the submission and its attempts while it is open (bytes). */
    fun estimatedBytes(): Long = SUBMISSION_BYTES + tasks.sumOf { TASK_BYTES + it.payload.length }

    private companion object {
        const val SUBMISSION_BYTES = 1_000L

        /** Memory of one task without its payload: the objects of the task, its attempt and its place in the queue. */
        const val TASK_BYTES = 500L
    }
}
