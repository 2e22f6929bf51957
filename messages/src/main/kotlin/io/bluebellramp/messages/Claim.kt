package io.bluebellramp.messages

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** A claim on one submission. */
@Serializable
data class Claim(
    val submission: SubmissionId,
    /** SHA-256 of the body in hex. */
    val digest: String,
    val takeover: IncarnationId? = null,
)
