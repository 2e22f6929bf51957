package io.bluebellramp.messages

import io.bluebellramp.core.SubmissionId
import kotlinx.serialization.Serializable

/** A claim that a member holds. */
@Serializable
data class HeldClaim(
    val submission: SubmissionId,
    /** SHA-256 of the body in hex. */
    val digest: String,
    val holder: ClaimHolder,
    /** Last round in which the claim was granted. */
    val sequence: Long = 0,
    /** True if the holder took the claim over from an entry that is gone. It never starts a task of the submission. */
    val takenOver: Boolean = false,
)
