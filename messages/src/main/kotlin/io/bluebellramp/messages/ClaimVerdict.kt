package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The verdict of one member on a claim. */
@Serializable
data class ClaimVerdict(
    /** True if the claimant now holds the claim at this member. */
    val granted: Boolean,
    val holder: ClaimHolder? = null,
    /** Digest of the body in the claim that the member holds. */
    val digest: String? = null,
)
