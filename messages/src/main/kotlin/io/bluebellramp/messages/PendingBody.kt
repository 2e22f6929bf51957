package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** Tells a caller that its submission has no answer yet. */
@Serializable
data class PendingBody(
    val submission: SubmissionId,
    /** Tasks of the submission. Absent if the entry that owns it does not say. */
    val tasks: Int? = null,
    /** Tasks of which the result has come. Absent if the entry that owns it does not say. */
    val tasksDone: Int? = null,
)
