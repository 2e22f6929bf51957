package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a change was accepted. */
@Serializable
enum class ChangeOutcome {
    @SerialName("accepted")
    ACCEPTED,

    @SerialName("conflict")
    CONFLICT,

    @SerialName("invalid")
    INVALID,
}
