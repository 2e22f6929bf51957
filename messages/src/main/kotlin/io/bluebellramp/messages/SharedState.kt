package io.bluebellramp.messages

import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** The state that the control processes have committed. */
@Serializable
data class SharedState(
    /** Index of the last log record that changed the state. */
    val index: Long,
    /** Availability zones that get no new tasks. */
    val zonesOut: List<ZoneId>,
    val catalog: Catalog? = null,
)
