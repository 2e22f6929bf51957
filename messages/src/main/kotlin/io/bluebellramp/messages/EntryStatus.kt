package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** One entry as the leader sees it. */
@Serializable
data class EntryStatus(
    val entry: EntryId,
    val address: Address,
    val zone: ZoneId,
    val oldestPermit: Revision,
    /** Number of agents connected to the entry. */
    val agents: Int,
    /** Time since its last lease request (ms). */
    val silentMillis: Long = 0,
)
