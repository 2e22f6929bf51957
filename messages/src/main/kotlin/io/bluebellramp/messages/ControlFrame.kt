package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A frame between a control process and another process. */
@Serializable
data class ControlFrame(
    val hello: ProcessHello? = null,
    val joining: MemberAddress? = null,
    val state: SharedState? = null,
    val directory: Directory? = null,
    /** Number of agents connected to the sender. Absent if it has not changed. */
    val agents: Int? = null,
    val call: MemberCall? = null,
    val reply: MemberReply? = null,
)
