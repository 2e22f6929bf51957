package io.bluebellramp.messages

import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import kotlinx.serialization.Serializable

/** The first frame of an entry. */
@Serializable
data class EntryHello(
    val entry: EntryId,
    val incarnation: IncarnationId,
)
