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
    /** Addresses of the control processes. */
    val controls: List<Address>,
    /** Maximum number of tasks in the queues of this process. */
    val queuedTasks: Int = 200000,
    /** Time on shutdown between reporting not ready and refusing new work (ms). */
    val drainMillis: Long = 1500,
    /** Maximum size of a request body (bytes). */
    val bodyBytes: Long = 4194304,
    /** File with the shared secret. If absent, authentication is disabled, which is allowed on loopback only. */
    val keyFile: String? = null,
    /** Folder for the log file. If absent, the log goes to the console. */
    val logFolder: String? = null,
)
