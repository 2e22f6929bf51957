package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SiteId
import kotlinx.serialization.Serializable

/** A live entry. */
@Serializable
data class EntryPeer(
    val entry: EntryId,
    val incarnation: IncarnationId,
    val address: Address,
    val site: SiteId,
)
