package io.bluebellramp.messages

import io.bluebellramp.core.ServiceId
import kotlinx.serialization.Serializable

/** A frame between a control process and another process. */
@Serializable
data class ControlFrame(
    val hello: ProcessHello? = null,
    val joining: MemberAddress? = null,
    val state: SharedState? = null,
    val directory: Directory? = null,
    val service: ServiceId? = null,
    /** Numbers of agents connected to the sender by service. Absent if they have not changed. Services without agents are left out. */
    val agents: List<ServiceAgents>? = null,
    val call: MemberCall? = null,
    val reply: MemberReply? = null,
)
