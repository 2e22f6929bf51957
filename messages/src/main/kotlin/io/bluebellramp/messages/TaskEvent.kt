package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** What happened to a task. */
@Serializable
enum class TaskEvent {
    @SerialName("started")
    STARTED,

    @SerialName("done")
    DONE,

    @SerialName("failed")
    FAILED,

    @SerialName("stopped")
    STOPPED,

    @SerialName("not_started")
    NOT_STARTED,
}
