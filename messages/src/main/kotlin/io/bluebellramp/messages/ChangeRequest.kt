package io.bluebellramp.messages

import io.bluebellramp.core.ChangeId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** A change of the configuration. It is applied completely or not at all. */
@Serializable
data class ChangeRequest(
    val change: ChangeId,
    val basedOn: Revision,
    /** Who requests the change. */
    val author: String? = null,
    val base: JsonObject? = null,
    /** New overlays by site. An empty object removes the overlay. */
    val overlays: Map<String, JsonObject> = emptyMap(),
    /** Zones to take out of service. */
    val zonesOut: List<ZoneId> = emptyList(),
    /** Zones to return to service. */
    val zonesIn: List<ZoneId> = emptyList(),
    /** Targets to take out of service. */
    val targetsOut: List<TargetId> = emptyList(),
    /** Targets to return to service. */
    val targetsIn: List<TargetId> = emptyList(),
)
