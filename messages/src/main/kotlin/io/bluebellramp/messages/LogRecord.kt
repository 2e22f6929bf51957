package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** One record of the log. */
@Serializable
data class LogRecord(
    /** Place in the log from 1. */
    val index: Long,
    /** Term of the leader that made it. */
    val term: Long,
    val kind: RecordKind,
    /** JSON text of the command or the membership. */
    val body: String,
)
