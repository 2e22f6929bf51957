package io.bluebellramp.placement

import io.bluebellramp.core.TeamId

/**
 * Bounds how many tasks of a team run at once.
 *
 * A queue asks it before each start and skips the jobs of a team that has no room. Whoever dispatches the tasks counts them.
 */
interface TeamQuota {
    /** Tasks of [team] that may start now. */
    fun room(team: TeamId): Int

    /** Tells whether another task of [team] may start now. */
    fun mayStart(team: TeamId): Boolean = room(team) > 0

    /** Sets no bound. */
    object Unlimited : TeamQuota {
        override fun room(team: TeamId) = Int.MAX_VALUE
    }
}
