package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** An entry asks the leader for the right to pass on permits. */
@Serializable
data class LeaseRequest(
    val entry: EntryId,
    val incarnation: IncarnationId,
    val address: Address,
    val site: SiteId,
    val zone: ZoneId,
    val revision: Revision,
    val oldestPermit: Revision,
    /** Agents linked to the entry. */
    val agents: Int,
    /** How long the leader may hold the call until the revision changes (ms). */
    val waitMillis: Long = 0,
    /** True when the entry shuts down. */
    val leaving: Boolean = false,
)
