package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The role of a process. */
@Serializable
enum class ProcessRole {
    @SerialName("control")
    CONTROL,

    @SerialName("entry")
    ENTRY,

    @SerialName("agent")
    AGENT,
}
