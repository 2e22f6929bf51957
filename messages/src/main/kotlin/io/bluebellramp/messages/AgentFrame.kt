package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** A frame from an agent to an entry. */
@Serializable
data class AgentFrame(
    val hello: AgentHello? = null,
    val target: TargetState? = null,
    val permitRequest: PermitRequest? = null,
    val credits: Credits? = null,
    val recalled: Credits? = null,
    /** Outcomes of attempts. */
    val outcomes: List<TaskOutcome> = emptyList(),
    /** True when the agent shuts down. It accepts no new work and finishes the work it has. */
    val leaving: Boolean = false,
)
