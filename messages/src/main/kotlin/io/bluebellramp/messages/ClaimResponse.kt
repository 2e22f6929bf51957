package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The verdicts of one member in the order of the claims. */
@Serializable
data class ClaimResponse(
    /** Version of the membership at the member. */
    val membership: Long,
    /** One verdict per claim. Empty if the member abstains or the versions differ. */
    val verdicts: List<ClaimVerdict>,
)
