package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** The request of an entry to the leader for a lease. The lease allows the entry to issue permits. */
@Serializable
data class LeaseRequest(
    val entry: EntryId,
    val incarnation: IncarnationId,
    val address: Address,
    val site: SiteId,
    val zone: ZoneId,
    val revision: Revision,
    val oldestPermit: Revision,
    /** Number of agents connected to the entry. */
    val agents: Int,
    /** How long the leader may delay the response while the revision does not change (ms). */
    val waitMillis: Long = 0,
    /** True when the entry shuts down. */
    val leaving: Boolean = false,
)
