package io.bluebellramp.messages

import io.bluebellramp.core.AgentId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** The first frame of an agent. */
@Serializable
data class AgentHello(
    val agent: AgentId,
    val incarnation: IncarnationId,
    val site: SiteId,
    val zone: ZoneId,
)
