package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Log records or a heartbeat from the leader. */
@Serializable
data class AppendRequest(
    /** Term of the leader. */
    val term: Long,
    val leader: MemberAddress,
    /** Number of the round. The leader uses it to look up when it sent the request. */
    val round: Long,
    /** Index of the record before the first one in this request. */
    val previousIndex: Long,
    /** Term of that index. */
    val previousTerm: Long,
    /** Records to append. */
    val records: List<LogRecord>,
    /** Last committed index at the leader. */
    val commitIndex: Long,
)
