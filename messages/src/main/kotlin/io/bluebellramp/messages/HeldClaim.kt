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
    /** Last round in which it was granted. */
    val sequence: Long = 0,
    /** True if the holder took it over from an entry that is gone. It never starts anything. */
    val takenOver: Boolean = false,
)
