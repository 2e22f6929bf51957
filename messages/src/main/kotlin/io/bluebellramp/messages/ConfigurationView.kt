package io.bluebellramp.messages

import io.bluebellramp.core.Revision
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/** The accepted configuration. */
@Serializable
data class ConfigurationView(
    val revision: Revision,
    val base: JsonObject,
    /** Merge patches by site. */
    val overlays: Map<String, JsonObject>,
    /** Zones out of service. */
    val zonesOut: List<ZoneId>,
    /** Targets out of service. */
    val targetsOut: List<TargetId>,
)
