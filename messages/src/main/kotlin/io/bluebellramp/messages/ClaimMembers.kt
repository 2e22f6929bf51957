package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The voting members of the control cluster. They hold the claims. */
@Serializable
data class ClaimMembers(
    /** Log index of the membership. */
    val version: Long,
    /** The voting members. */
    val members: List<MemberAddress>,
)
