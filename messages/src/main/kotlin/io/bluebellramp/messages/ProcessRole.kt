package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What a process does. */
@Serializable
enum class ProcessRole {
    @SerialName("control")
    CONTROL,

    @SerialName("entry")
    ENTRY,

    @SerialName("agent")
    AGENT,
}
