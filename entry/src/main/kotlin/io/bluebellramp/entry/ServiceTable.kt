package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.placement.DeadlineForecast
import io.bluebellramp.placement.RetryBudget
import kotlin.time.Duration

/** The queues of every service, and the current time for their policies. No I/O. */
internal class ServiceTable(
    private val lease: LeaseState,
    private val agents: AgentDirectory,
    private val teams: TeamUsage,
    private val policies: PlacementPolicies,
) {
    private val services = LinkedHashMap<ServiceId, ServiceQueues>()

    /** The current time, set at the start of each call of [EntryCore]. */
    var now = Duration.ZERO

    /** Services that have queues. */
    val ids: Set<ServiceId> get() = services.keys

    /** Number of waiting tasks and requests. */
    val waiting: Int get() = services.values.sumOf { it.waiting }

    /** Returns the queues of [service], which are created if they don't exist yet. */
    fun queues(service: ServiceId): ServiceQueues = services[service] ?: add(service)

    /** Returns the queues of [service], or null if they don't exist yet. */
    fun existingQueues(service: ServiceId): ServiceQueues? = services[service]

    /** Returns the queue for [submission]. */
    fun queueFor(submission: Submission): DispatchQueue {
        val queues = queues(submission.spec.service)
        return if (submission.spec.kind == DispatchKind.TASK) queues.tasks else queues.requests
    }

    /** Returns the retry budget of the service of [submission]. */
    fun retryBudget(submission: Submission): RetryBudget =
        queues(submission.spec.service).retryBudget(share = lease.service(submission.spec.service)?.retryShare ?: 0.0)

    private fun add(service: ServiceId): ServiceQueues {
        val queues = ServiceQueues(policies, teams)
        services[service] = queues
        refreshSlots()
        return queues
    }

    /** Returns the demand for [service], which is sent to its agents. */
    fun demand(service: ServiceId): Demand {
        val queues = services[service] ?: return Demand(tasks = 0, tasksLeft = 0)
        val tasks = queues.tasks.jobs.demand(now)
        return Demand(
            tasks = tasks.tasks,
            tasksLeft = tasks.tasksLeft,
            requests =
                queues.requests.jobs
                    .demand(now)
                    .tasks,
        )
    }

    /** Estimates whether [submission] can finish before its deadline. */
    fun forecast(submission: Submission): DeadlineForecast {
        val queue = queueFor(submission)
        return queue.model.forecast(
            tasks = submission.size,
            tasksAhead = queue.jobs.tasksAhead(submission.size),
            remaining = submission.deadline - now,
        )
    }

    /** Updates the number of slots of each service after targets came or went or limits changed. */
    fun refreshSlots() =
        services.forEach { (service, queues) ->
            val limits = lease.service(service) ?: return@forEach
            val executors = agents.connected.count { it.service == service && lease.isInService(it.zone, it.target?.target) }
            queues.tasks.model.slots = executors * limits.slots
            queues.requests.model.slots = executors * limits.connections
        }
}
