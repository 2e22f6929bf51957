package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.AgentId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** Settings of an agent process. */
@Serializable
data class AgentSettings(
    val agent: AgentId,
    val site: SiteId,
    val zone: ZoneId,
    val listen: Address,
    /** Entries to contact first. The agent learns the others from permits. */
    val entries: List<Address>,
    /** Time after which a target that has not announced itself again counts as absent (ms). */
    val announcementLifeMillis: Long = 2000,
    /** File with the shared secret. If absent, authentication is disabled, which is allowed on loopback only. */
    val keyFile: String? = null,
    /** Folder for the log file. If absent, the log goes to the console. */
    val logFolder: String? = null,
)
