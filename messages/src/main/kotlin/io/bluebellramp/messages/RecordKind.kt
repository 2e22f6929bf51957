package io.bluebellramp.messages

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The kind of a log record. */
@Serializable
enum class RecordKind {
    @SerialName("command")
    COMMAND,

    @SerialName("membership")
    MEMBERSHIP,

    @SerialName("no_op")
    NO_OP,
}
