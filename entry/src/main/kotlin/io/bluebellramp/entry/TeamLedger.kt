package io.bluebellramp.entry

import io.bluebellramp.core.TeamId
import io.bluebellramp.placement.TeamQuota

/** Counts the tasks of each team, and splits the quota of running tasks evenly over the live entries. */
internal class TeamLedger(
    private val lease: LeaseKeeper,
) : TeamQuota {
    private class Count(
        var waiting: Int = 0,
        var running: Int = 0,
    )

    private val counts = HashMap<TeamId, Count>()

    /** Tasks of [team] that wait. */
    fun waiting(team: TeamId): Int = counts[team]?.waiting ?: 0

    override fun room(team: TeamId): Int {
        val limit = lease.team(team)?.runningTasks ?: return Int.MAX_VALUE
        val share = (limit + lease.liveEntries - 1) / lease.liveEntries
        return share - (counts[team]?.running ?: 0)
    }

    /** Adds to what waits and to what runs of [submission]'s team. */
    fun count(
        submission: Submission,
        waiting: Int = 0,
        running: Int = 0,
    ) {
        val team = submission.new.team ?: return
        val count = counts.getOrPut(team) { Count() }
        count.waiting += waiting
        count.running += running
        if (count.waiting == 0 && count.running == 0) counts.remove(team)
    }
}
