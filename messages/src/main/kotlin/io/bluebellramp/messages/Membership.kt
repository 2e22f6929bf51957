package io.bluebellramp.messages

import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** The members of the control cluster as of an index. */
@Serializable
data class Membership(
    /** Index of the record that set the membership. */
    val index: Long,
    /** Voting members. */
    val voters: List<MemberAddress>,
    /** Members that receive the log but do not vote. */
    val learners: List<MemberAddress>,
    /** Ids of removed members. They must not be used again. */
    val retired: List<MemberId>,
)
