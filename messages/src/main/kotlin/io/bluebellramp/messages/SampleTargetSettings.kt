package io.bluebellramp.messages

import io.bluebellramp.core.Address
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import kotlinx.serialization.Serializable

/** Settings of the sample target. */
@Serializable
data class SampleTargetSettings(
    val target: TargetId,
    val service: ServiceId,
    val listen: Address,
    val agent: Address,
    /** File to which one line is appended for each start of a task. */
    val startsFile: String? = null,
    /** Folder for the log file. If absent, the log goes to the console. */
    val logFolder: String? = null,
)
