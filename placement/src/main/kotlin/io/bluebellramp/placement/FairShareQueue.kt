package io.bluebellramp.placement

import kotlin.time.Duration

/**
 * Gives the next slot to the team with the fewest running tasks, and within a team to the job with the fewest unfinished tasks.
 *
 * Use it where teams compete for one service and none may starve the others. Jobs without a team count as one team.
 */
class FairShareQueue(
    quota: TeamQuota = TeamQuota.Unlimited,
) : TeamJobQueue(order = JobState.byTasksLeft, quota = quota) {
    override fun nextJob(now: Duration): JobState? {
        val teams = startableTeams()
        val fewestRunning = teams.minOfOrNull { it.running } ?: return null
        return teams.filter { it.running == fewestRunning }.mapNotNull { it.first() }.minWithOrNull(JobState.byTasksLeft)
    }

    override fun startsBefore(
        state: JobState,
        tasks: Int,
    ) = state.tasksLeft <= tasks
}
