package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The claims of an entry on submissions at one member. Grants from a majority of members make the entry the owner. */
@Serializable
data class ClaimRequest(
    /** Version of the membership in which the entry counts its majority. */
    val membership: Long,
    val holder: ClaimHolder,
    /** The claims. */
    val claims: List<Claim>,
    /** Number of the claim round at the entry. It increases with each round. */
    val sequence: Long = 0,
)
