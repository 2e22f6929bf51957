package io.bluebellramp.messages

import io.bluebellramp.core.MemberId
import kotlinx.serialization.Serializable

/** The members of the control cluster as of an index. */
@Serializable
data class Membership(
    /** Index of the record that made it. */
    val index: Long,
    /** Members that vote. */
    val voters: List<MemberAddress>,
    /** Members that only receive. */
    val learners: List<MemberAddress>,
    /** Ids that never come back. */
    val retired: List<MemberId>,
)
