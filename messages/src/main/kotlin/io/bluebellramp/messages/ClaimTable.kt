package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A page of the claims of one member. A member that restarted reads it. */
@Serializable
data class ClaimTable(
    /** Version of the membership at the member. */
    val membership: Long,
    /** False if the member abstains because its own claims may be incomplete. */
    val complete: Boolean,
    /** The claims. */
    val claims: List<HeldClaim>,
    /** Group with which the next page starts. Absent on the last page. */
    val next: Long? = null,
)
