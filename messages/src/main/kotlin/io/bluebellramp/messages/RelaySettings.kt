package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Settings of the relay that simulates a network partition of a control process. */
@Serializable
data class RelaySettings(
    /** Addresses on which the relay listens and the processes to which it forwards. */
    val routes: List<RelayRoute>,
    /** File with one IP address per line. The relay holds back all bytes from and to these addresses. */
    val cutFile: String,
    /** Folder for the log file. If absent, the log goes to the console. */
    val logFolder: String? = null,
)
