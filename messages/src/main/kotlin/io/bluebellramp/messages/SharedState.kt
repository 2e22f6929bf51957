package io.bluebellramp.messages

import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** What control has committed. */
@Serializable
data class SharedState(
    /** Index of the last record that changed it. */
    val index: Long,
    /** Availability zones that get no new tasks. */
    val zonesOut: List<ZoneId>,
    val catalog: Catalog? = null,
)
