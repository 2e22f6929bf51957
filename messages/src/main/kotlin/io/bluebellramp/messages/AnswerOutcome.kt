package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Complete has every result; not run means that nothing started and nothing can start any more; failed is all else. */
@Serializable
enum class AnswerOutcome {
    @SerialName("complete")
    COMPLETE,

    @SerialName("not_run")
    NOT_RUN,

    @SerialName("failed")
    FAILED,
}
