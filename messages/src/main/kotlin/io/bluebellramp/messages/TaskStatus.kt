package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Done ran to its end; error started and failed; not run proves that the attempt did not start and never will; unknown started or may have; running has started and goes on. */
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
