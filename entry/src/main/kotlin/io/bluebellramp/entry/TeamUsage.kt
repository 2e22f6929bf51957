package io.bluebellramp.entry

import io.bluebellramp.core.TeamId
import io.bluebellramp.placement.TeamQuota

/** Counts the tasks of each team and splits its quota of running tasks evenly among the live entries. */
internal class TeamUsage(
    private val lease: LeaseState,
) : TeamQuota {
    private class TaskCounts(
        var waiting: Int = 0,
        var running: Int = 0,
    )

    private val counts = HashMap<TeamId, TaskCounts>()

    /** Number of waiting tasks of [team]. */
    fun waiting(team: TeamId): Int = counts[team]?.waiting ?: 0

    override fun remaining(team: TeamId): Int {
        val limit = lease.team(team)?.runningTasks ?: return Int.MAX_VALUE
        val share = (limit + lease.liveEntries - 1) / lease.liveEntries
        return share - (counts[team]?.running ?: 0)
    }

    /** Adds [waiting] and [running], which may be negative, to the counts of the team of [submission]. */
    fun adjust(
        submission: Submission,
        waiting: Int = 0,
        running: Int = 0,
    ) {
        val team = submission.spec.team ?: return
        val taskCounts = counts.getOrPut(team) { TaskCounts() }
        taskCounts.waiting += waiting
        taskCounts.running += running
        if (taskCounts.waiting == 0 && taskCounts.running == 0) counts.remove(team)
    }
}
