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
    /** Entries to contact first. The others are learned from permits. */
    val entries: List<Address>,
    /** A target that has not announced itself for this long is forgotten (ms). */
    val announcementLifeMillis: Long = 2000,
    /** File with the shared secret. Absent switches authentication off which is possible on loopback only. */
    val keyFile: String? = null,
    /** Folder for the log file. Absent logs to the console. */
    val logFolder: String? = null,
)
