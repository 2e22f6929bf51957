package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.ZoneId
import kotlinx.serialization.Serializable

/** Settings of an entry process. */
@Serializable
data class EntrySettings(
    val entry: EntryId,
    val site: SiteId,
    val zone: ZoneId,
    val listen: Address,
    /** Where the control processes listen. */
    val controls: List<Address>,
    /** Most tasks that wait in this process. */
    val queuedTasks: Int = 200000,
    /** Time between turning not ready and refusing new work on shutdown (ms). */
    val drainMillis: Long = 1500,
    /** Largest request body (bytes). */
    val bodyBytes: Long = 4194304,
    /** File with the shared secret. Absent switches authentication off which is possible on loopback only. */
    val keyFile: String? = null,
    /** Folder for the log file. Absent logs to the console. */
    val logFolder: String? = null,
)
