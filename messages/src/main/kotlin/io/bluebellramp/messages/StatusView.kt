package io.bluebellramp.messages

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** What a control process knows of the system. */
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
