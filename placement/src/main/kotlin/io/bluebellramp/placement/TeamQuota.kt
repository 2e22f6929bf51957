package io.bluebellramp.placement

import io.bluebellramp.core.TeamId

/**
 * Limits the number of tasks of a team that run at once.
 *
 * A queue consults it before each start and skips the jobs of a team at its quota. The dispatcher counts the running tasks.
 */
interface TeamQuota {
    /** Returns how many tasks of [team] may start now. */
    fun remaining(team: TeamId): Int

    /** Returns whether another task of [team] may start now. */
    fun mayStart(team: TeamId): Boolean = remaining(team) > 0

    /** No limit. */
    object Unlimited : TeamQuota {
        override fun remaining(team: TeamId) = Int.MAX_VALUE
    }
}
