package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.ClaimHolder

/** The identity of this entry process. */
internal data class EntryIdentity(
    val entry: EntryId,
    val incarnation: IncarnationId,
    val address: Address,
    val site: SiteId,
    val zone: ZoneId,
) {
    /** The form in which this entry appears as the holder of a claim. */
    val holder get() = ClaimHolder(entry = entry, incarnation = incarnation, address = address)
}
