package io.bluebellramp.placement

import kotlin.time.Duration

/**
 * Gives the next slot to the team that runs the fewest tasks, and within a team to the job with the fewest tasks left.
 *
 * Use it where teams compete for one service and none may crowd out the others. Jobs without a team count as one team.
 */
class FairShareQueue(
    quota: TeamQuota = TeamQuota.Unlimited,
) : TeamJobQueue(order = JobState.byTasksLeft, quota = quota) {
    override fun next(now: Duration): JobState? {
        val open = open()
        val fewest = open.minOfOrNull { it.running } ?: return null
        return open.filter { it.running == fewest }.mapNotNull { it.first() }.minWithOrNull(JobState.byTasksLeft)
    }

    override fun isAhead(
        state: JobState,
        tasks: Int,
    ) = state.left <= tasks
}
