package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of work. A task uses a slot and a request uses a connection. */
@Serializable
enum class DispatchKind {
    @SerialName("task")
    TASK,

    @SerialName("request")
    REQUEST,
}
