package io.bluebellramp.entry

import io.bluebellramp.placement.CreditPool
import io.bluebellramp.placement.JobQueue
import io.bluebellramp.placement.RetryBudget
import io.bluebellramp.placement.RunTimeModel
import io.bluebellramp.placement.TeamQuota

/** The waiting tasks or requests of a service and the credits for dispatching them. */
internal class DispatchQueue(
    policies: PlacementPolicies,
    quota: TeamQuota,
) {
    val model = RunTimeModel()
    val jobs: JobQueue = policies.queue(model, quota)
    val pool: CreditPool = policies.pool(model)
}

/** The two queues of a service: tasks consume slots and requests consume connections. */
internal class ServiceQueues(
    policies: PlacementPolicies,
    quota: TeamQuota,
) {
    val tasks = DispatchQueue(policies, quota)
    val requests = DispatchQueue(policies, quota)
    val all = listOf(tasks, requests)
    val waiting get() = all.sumOf { it.jobs.waiting }
    private var retryShare = 0.0
    private var retryBudget = RetryBudget(share = 0.0)

    /** Returns the retry budget, which allows retries for a [share] of the idempotent tasks and requests. */
    fun retryBudget(share: Double): RetryBudget {
        if (share != retryShare) {
            retryShare = share
            retryBudget = RetryBudget(share)
        }
        return retryBudget
    }
}
