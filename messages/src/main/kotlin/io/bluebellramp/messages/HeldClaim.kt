package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** A claim that is held. */
@Serializable
data class HeldClaim(
    val submission: SubmissionId,
    /** SHA-256 of the body in hex. */
    val digest: String,
    val holder: ClaimHolder,
)
