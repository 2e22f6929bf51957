package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** What one member says of a claim. */
@Serializable
data class ClaimVerdict(
    /** True if the claimant now holds the claim at this member. */
    val granted: Boolean,
    val holder: ClaimHolder? = null,
    /** Digest of the claim that is held. */
    val digest: String? = null,
)
