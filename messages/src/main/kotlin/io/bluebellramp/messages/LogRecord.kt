package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** One record of the log. */
@Serializable
data class LogRecord(
    /** Position in the log. The first is 1. */
    val index: Long,
    /** Term of the leader that created the record. */
    val term: Long,
    val kind: RecordKind,
    /** JSON text of the command or the membership. */
    val body: String,
)
