package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** Records or a heartbeat of the leader. */
@Serializable
data class AppendRequest(
    /** Term of the leader. */
    val term: Long,
    val leader: MemberAddress,
    /** Number of the round from which the leader knows when it sent it. */
    val round: Long,
    /** Index before the first record. */
    val previousIndex: Long,
    /** Term of that index. */
    val previousTerm: Long,
    /** Records to append. */
    val records: List<LogRecord>,
    /** Last committed index at the leader. */
    val commitIndex: Long,
)
