package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.placement.DeadlineForecast
import io.bluebellramp.placement.RetryBudget
import kotlin.time.Duration

/** The lanes of every service, and the time at which their policies decide. No I/O. */
internal class ServiceTable(
    private val lease: LeaseKeeper,
    private val agents: AgentDirectory,
    private val teams: TeamLedger,
    private val policies: PlacementPolicies,
) {
    private val services = LinkedHashMap<ServiceId, ServiceLanes>()

    /** The time of the current step. */
    var now = Duration.ZERO

    /** Services that have lanes. */
    val ids: Set<ServiceId> get() = services.keys

    /** Tasks and requests that wait. */
    val waiting: Int get() = services.values.sumOf { it.waiting }

    /** The lanes of [service], made if there are none yet. */
    fun lanes(service: ServiceId): ServiceLanes = services[service] ?: add(service)

    /** The lanes of [service], or null if nothing ever waited there and no credit came. */
    fun known(service: ServiceId): ServiceLanes? = services[service]

    /** The lane in which [submission] waits. */
    fun lane(submission: Submission): Lane {
        val lanes = lanes(submission.new.service)
        return if (submission.new.kind == DispatchKind.TASK) lanes.tasks else lanes.requests
    }

    /** The budget for retries of the service of [submission]. */
    fun retries(submission: Submission): RetryBudget =
        lanes(submission.new.service).retries(share = lease.service(submission.new.service)?.retryShare ?: 0.0)

    private fun add(service: ServiceId): ServiceLanes {
        val lanes = ServiceLanes(policies, teams)
        services[service] = lanes
        refreshSlots()
        return lanes
    }

    /** What waits for [service]. */
    fun demand(service: ServiceId): Demand {
        val lanes = services[service] ?: return Demand(tasks = 0, tasksLeft = 0)
        val tasks = lanes.tasks.queue.demand(now)
        return Demand(
            tasks = tasks.tasks,
            tasksLeft = tasks.tasksLeft,
            requests =
                lanes.requests.queue
                    .demand(now)
                    .tasks,
        )
    }

    /** Tells whether [submission] can be answered before its deadline, as far as is known. */
    fun forecast(submission: Submission): DeadlineForecast {
        val lane = lane(submission)
        return lane.model.forecast(
            tasks = submission.size,
            tasksAhead = lane.queue.tasksAhead(submission.size),
            remaining = submission.deadline - now,
        )
    }

    /** Takes note of targets that came or went, and of changed limits. */
    fun refreshSlots() =
        services.forEach { (service, lanes) ->
            val limits = lease.service(service) ?: return@forEach
            val executors = agents.connected.count { it.service == service && lease.isInService(it.zone, it.target?.target) }
            lanes.tasks.model.slots = executors * limits.slots
            lanes.requests.model.slots = executors * limits.connections
        }
}
