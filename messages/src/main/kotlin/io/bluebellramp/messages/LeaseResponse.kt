package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** The leader's permission as of a revision, or a hint where the leader is. */
@Serializable
data class LeaseResponse(
    /** False if this member is not a leader with a majority. */
    val granted: Boolean,
    val leader: Address? = null,
    /** Life of the lease from the moment the entry sent its request (ms). */
    val lifeMillis: Long = 0,
    val revision: Revision? = null,
    val configuration: ConfigurationView? = null,
    /** Live entries. */
    val entries: List<EntryPeer> = emptyList(),
    val members: ClaimMembers? = null,
)
