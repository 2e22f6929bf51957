package io.bluebellramp.placement

import kotlin.time.Duration

/** Runs jobs in the order of their arrival: the baseline for comparing other orders. */
class FirstComeFirstServedQueue(
    quota: TeamQuota = TeamQuota.Unlimited,
) : TeamJobQueue(order = JobState.byArrival, quota = quota) {
    override fun nextJob(now: Duration): JobState? = startableTeams().mapNotNull { it.first() }.minWithOrNull(JobState.byArrival)
}
