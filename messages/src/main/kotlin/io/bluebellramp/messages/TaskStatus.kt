package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The status of an attempt. Done: ran to its end. Error: started and failed. Not run: certainly did not start and never will. Unknown: may have started. Running: started and has not ended. */
@Serializable
enum class TaskStatus {
    @SerialName("done")
    DONE,

    @SerialName("error")
    ERROR,

    @SerialName("not_run")
    NOT_RUN,

    @SerialName("unknown")
    UNKNOWN,

    @SerialName("running")
    RUNNING,
}
