package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A page of the claims of one member, for a member that restarted. */
@Serializable
data class ClaimTable(
    /** Version of the membership at the member. */
    val membership: Long,
    /** False if the member itself abstains. */
    val complete: Boolean,
    /** The claims. */
    val claims: List<HeldClaim>,
    /** Group from which the next page goes on. Absent if this is the last one. */
    val next: Long? = null,
)
