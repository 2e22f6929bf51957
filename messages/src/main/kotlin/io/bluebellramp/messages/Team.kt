package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The quota of a team. */
@Serializable
data class Team(
    /** Tasks of the team that run at once across all entries. */
    val runningTasks: Int = 100000,
    /** Tasks of the team that wait in one entry. */
    val queuedTasks: Int = 100000,
)
