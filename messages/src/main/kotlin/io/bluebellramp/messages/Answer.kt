package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** The complete answer to a submission. */
@Serializable
data class Answer(
    val submission: SubmissionId,
    val outcome: AnswerOutcome,
    /** Every result in the order of the tasks. Present only when complete. */
    val results: List<TaskResult>? = null,
    /** How many tasks started. Absent when unknown. */
    val startedTasks: Int? = null,
    val error: ErrorBody? = null,
    /** Time from arrival at the entry that owns the submission to the answer (ms). */
    val elapsedMillis: Double = 0.0,
)
