package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.Revision
import kotlinx.serialization.Serializable

/** The lease for a revision or the address of the leader. */
@Serializable
data class LeaseResponse(
    /** False if this member is not a leader with a majority. */
    val granted: Boolean,
    val leader: Address? = null,
    /** How long the lease is valid from the moment the entry sent its request (ms). */
    val lifeMillis: Long = 0,
    val revision: Revision? = null,
    val configuration: ConfigurationView? = null,
    /** Live entries. */
    val entries: List<EntryPeer> = emptyList(),
    val members: ClaimMembers? = null,
)
