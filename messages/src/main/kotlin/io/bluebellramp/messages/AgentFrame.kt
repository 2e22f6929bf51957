package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** What an agent sends to an entry. */
@Serializable
data class AgentFrame(
    val hello: AgentHello? = null,
    val target: TargetState? = null,
    val permitRequest: PermitRequest? = null,
    val credits: Credits? = null,
    val recalled: Credits? = null,
    /** What became of tasks. */
    val outcomes: List<TaskOutcome> = emptyList(),
    /** True when the agent shuts down. It takes no new work and finishes what it has. */
    val leaving: Boolean = false,
)
