package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The voting members that hold claims. */
@Serializable
data class ClaimMembers(
    /** Log index of the membership. */
    val version: Long,
    /** The voting members. */
    val members: List<MemberAddress>,
)
