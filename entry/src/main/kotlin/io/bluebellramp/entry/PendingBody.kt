package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** Tells a caller that its submission has no answer yet. */
@Serializable
internal data class PendingBody(
    val submission: SubmissionId,
)
