package io.bluebellramp.messages

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** The state of the system as a control process knows it. */
@Serializable
data class StatusView(
    val member: MemberId,
    /** Leader, follower, candidate or learner. */
    val role: String,
    /** Current term. */
    val term: Long,
    /** Last index known to be committed. */
    val commitIndex: Long,
    val revision: Revision,
    /** Members of the control cluster. */
    val members: List<MemberStatus>,
    /** Live entries. */
    val entries: List<EntryStatus>,
    val leader: MemberAddress? = null,
    val revisionInForce: Revision? = null,
)
