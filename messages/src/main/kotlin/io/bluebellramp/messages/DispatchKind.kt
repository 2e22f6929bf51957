package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A task takes a slot; a request takes a connection. */
@Serializable
enum class DispatchKind {
    @SerialName("task")
    TASK,

    @SerialName("request")
    REQUEST,
}
