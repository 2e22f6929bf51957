package io.bluebellramp.messages

import kotlinx.serialization.Serializable

/** The quota of a team. */
@Serializable
data class Team(
    /** Maximum number of tasks of the team that run at the same time across all entries. */
    val runningTasks: Int = 100000,
    /** Maximum number of queued tasks of the team in one entry. */
    val queuedTasks: Int = 100000,
)
