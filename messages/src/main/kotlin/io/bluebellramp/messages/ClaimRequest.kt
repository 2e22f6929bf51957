package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** An entry claims submissions at one member. The majority of grants makes it the owner. */
@Serializable
data class ClaimRequest(
    /** Version of the membership that the entry counts its majority in. */
    val membership: Long,
    val holder: ClaimHolder,
    /** The claims. */
    val claims: List<Claim>,
    /** Number of the round at the entry, which grows with each. */
    val sequence: Long = 0,
)
