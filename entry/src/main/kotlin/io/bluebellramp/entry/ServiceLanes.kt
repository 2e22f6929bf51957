package io.bluebellramp.entry

import io.bluebellramp.placement.CreditPool
import io.bluebellramp.placement.JobQueue
import io.bluebellramp.placement.RetryBudget
import io.bluebellramp.placement.RunTimeModel
import io.bluebellramp.placement.TeamQuota

/** What waits for a service and the credits against which it may start. */
internal class Lane(
    policies: PlacementPolicies,
    quota: TeamQuota,
) {
    val model = RunTimeModel()
    val queue: JobQueue = policies.queue(model, quota)
    val pool: CreditPool = policies.pool(model)
}

/** The two lanes of a service: tasks take slots, requests take connections. */
internal class ServiceLanes(
    policies: PlacementPolicies,
    quota: TeamQuota,
) {
    val tasks = Lane(policies, quota)
    val requests = Lane(policies, quota)
    val all = listOf(tasks, requests)
    val waiting get() = all.sumOf { it.queue.waiting }
    private var retryShare = 0.0
    private var retries = RetryBudget(share = 0.0)

    /** The budget for retries, which are a [share] of the idempotent work. */
    fun retries(share: Double): RetryBudget {
        if (share != retryShare) {
            retryShare = share
            retries = RetryBudget(share)
        }
        return retries
    }
}
