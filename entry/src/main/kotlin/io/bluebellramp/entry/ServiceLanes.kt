package io.bluebellramp.entry

import io.bluebellramp.placement.CreditPool
import io.bluebellramp.placement.JobQueue
import kotlin.time.Duration

/** What waits for a service and the credits against which it may start. */
internal class Lane(
    val queue: JobQueue,
    val pool: CreditPool,
)

/** The two lanes of a service: tasks take slots, requests take connections. */
internal class ServiceLanes(
    policies: PlacementPolicies,
) {
    val tasks = Lane(queue = policies.queue(), pool = policies.pool())
    val requests = Lane(queue = policies.queue(), pool = policies.pool())
    val all = listOf(tasks, requests)
    val retries = RetryBudget()
    val waiting get() = all.sumOf { it.queue.waiting }

    /** The moving mean of the run times, or null before the first. */
    var meanRun: Duration? = null
        private set

    /** Takes the run time of one task. */
    fun learn(ran: Duration) {
        meanRun = meanRun?.let { it * (1 - WEIGHT) + ran * WEIGHT } ?: ran
    }

    private companion object {
        const val WEIGHT = 0.02
    }
}
