package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Settings of the relay that cuts a control process off. */
@Serializable
data class RelaySettings(
    /** Where the relay listens and for whom. */
    val routes: List<RelayRoute>,
    /** File with one IP number a line. All bytes from and to these are held. */
    val cutFile: String,
    /** Folder for the log file. Absent logs to the console. */
    val logFolder: String? = null,
)
