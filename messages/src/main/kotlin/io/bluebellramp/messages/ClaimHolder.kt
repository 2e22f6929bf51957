package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import kotlinx.serialization.Serializable

/** The entry that holds a claim. */
@Serializable
data class ClaimHolder(
    val entry: EntryId,
    val incarnation: IncarnationId,
    val address: Address,
)
