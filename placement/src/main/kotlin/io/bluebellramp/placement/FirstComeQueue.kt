package io.bluebellramp.placement

import kotlin.time.Duration

/** Runs jobs in the order of their arrival. It is the baseline that other orders are compared with. */
class FirstComeQueue(
    quota: TeamQuota = TeamQuota.Unlimited,
) : TeamJobQueue(order = JobState.byArrival, quota = quota) {
    override fun next(now: Duration): JobState? = open().mapNotNull { it.first() }.minWithOrNull(JobState.byArrival)
}
