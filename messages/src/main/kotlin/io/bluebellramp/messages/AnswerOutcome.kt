package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The outcome of a submission. Complete: every task has a result. Not run: no task started and none can start any more. Failed: all other cases. */
@Serializable
enum class AnswerOutcome {
    @SerialName("complete")
    COMPLETE,

    @SerialName("not_run")
    NOT_RUN,

    @SerialName("failed")
    FAILED,
}
