package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** The response to a caller whose submission has no final answer yet. */
@Serializable
data class PendingBody(
    val submission: SubmissionId,
    /** Number of tasks in the submission. Absent if the entry that owns it did not report it. */
    val tasks: Int? = null,
    /** Number of tasks whose result has arrived. Absent if the entry that owns the submission did not report it. */
    val tasksDone: Int? = null,
)
