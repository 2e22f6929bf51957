package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.placement.CreditedTarget
import io.bluebellramp.placement.QueuedJob

/** Queues the submissions that this entry owns and dispatches their tasks to agents as credits allow. No I/O. */
internal class Dispatcher(
    private val lease: LeaseState,
    private val agents: AgentDirectory,
    private val services: ServiceTable,
    private val teams: TeamUsage,
    private val counters: EntryCounters,
    private val actions: ActionBuffer,
) {
    private val openSubmissions = HashMap<SubmissionId, Submission>()

    /** Adds an owned submission to its queue. */
    fun enqueue(submission: Submission) {
        openSubmissions[submission.id] = submission
        teams.adjust(submission, waiting = submission.size)
        services.queueFor(submission).jobs.add(
            QueuedJob(
                submission = submission.id,
                team = submission.spec.team,
                tasks =
                    submission.spec.tasks.indices
                        .toList(),
                arrivedAt = submission.arrived,
                deadline = submission.deadline,
            ),
        )
        if (submission.spec.idempotent) repeat(submission.size) { services.retryBudget(submission).onFirstAttempt() }
        placeTasks(submission.spec.service)
        if (services.queueFor(submission).jobs.waiting > 0) agents.flushLinksWithoutDemand(submission.spec.service)
    }

    /** Removes the waiting tasks of [submission] and cancels its dispatched ones. */
    fun cancelAll(submission: Submission) {
        if (openSubmissions.remove(submission.id) == null) return
        teams.adjust(
            submission,
            waiting =
                -services
                    .queueFor(submission)
                    .jobs
                    .remove(submission.id)
                    .size,
        )
        submission.outstandingAttempts.values
            .toList()
            .forEach(::cancelAttempt)
        placeTasks(submission.spec.service)
    }

    private fun cancelAttempt(attempt: Attempt) {
        val session = attempt.session
        if (!attempt.isSent && session.outbox.dispatches.remove(attempt)) {
            session.unresolvedAttempts.remove(attempt.key)
            attempt.submission.outstandingAttempts.remove(attempt.task)
            attempt.release(services, teams)
            val pool = services.queueFor(attempt.submission).pool
            pool.taskNotStarted(attempt.target)
            pool.grant(target = attempt.target, zone = session.zone, credits = 1)
            return
        }
        session.outbox.cancels += attempt.reference
        agents.requestFlush(session)
    }

    /** Removes [submission], of which every task has ended. */
    fun completed(submission: Submission) {
        openSubmissions.remove(submission.id)
        services.queueFor(submission).jobs.remove(submission.id)
    }

    /** Queues a task for another attempt. Its last attempt must be settled. */
    fun requeue(
        submission: Submission,
        task: Int,
    ) {
        submission.attemptNumbers[task]++
        teams.adjust(submission, waiting = 1, running = -1)
        services.queueFor(submission).jobs.requeue(submission.id, task)
        placeTasks(submission.spec.service)
    }

    /** Asks the agents whether the attempts of [submission] have started where that is not known. */
    fun inquire(submission: Submission) =
        submission.outstandingAttempts.values.filter { !submission.isStarted(it.task) }.forEach {
            it.session.outbox.inquiries += it.reference
            agents.requestFlush(it.session)
        }

    /** Places the waiting tasks of all services as far as credits allow. */
    fun placeAllTasks() = services.ids.toList().forEach(::placeTasks)

    /** Places the waiting tasks of [service] as far as credits allow. */
    fun placeTasks(service: ServiceId) {
        if (!lease.isLive(services.now)) return
        val queues = services.existingQueues(service) ?: return
        queues.all.forEach(::placeTasks)
    }

    private fun placeTasks(queue: DispatchQueue) {
        if (queue.jobs.waiting == 0) return
        val unspent = queue.pool.unspent()
        if (unspent.isEmpty()) return
        val candidates = PlacementCandidates.of(unspent)
        while (queue.jobs.waiting > 0) if (!placeNext(queue, candidates)) return
    }

    private fun placeNext(
        queue: DispatchQueue,
        candidates: PlacementCandidates,
    ): Boolean {
        val creditedTarget = queue.pool.spend(services.now) ?: return false
        val session = agents.sessionOfTarget(creditedTarget.target)
        if (session == null) {
            queue.pool.removeTarget(creditedTarget.target)
            return true
        }
        val nextTask = queue.jobs.take(services.now)
        val submission = nextTask?.let { openSubmissions[it.submission] }
        if (nextTask == null || submission == null) {
            queue.pool.taskNotStarted(creditedTarget.target)
            queue.pool.grant(target = creditedTarget.target, zone = creditedTarget.zone, credits = 1)
            return false
        }
        place(submission, nextTask.task, session, creditedTarget, candidates)
        return true
    }

    private fun place(
        submission: Submission,
        task: Int,
        session: AgentSession,
        creditedTarget: CreditedTarget,
        candidates: PlacementCandidates,
    ) {
        val attempt =
            Attempt(
                submission = submission,
                task = task,
                number = submission.attemptNumbers[task],
                session = session,
                target = creditedTarget.target,
                dispatchedAt = services.now,
            )
        teams.adjust(submission, waiting = -1, running = 1)
        submission.outstandingAttempts[task] = attempt
        session.unresolvedAttempts[attempt.key] = attempt
        session.outbox.dispatches += attempt
        counters.dispatched++
        agents.requestFlush(session)
        actions +=
            Action.LogPlacementDecision(
                submission = submission.id,
                task = task,
                attempt = attempt.number,
                service = submission.spec.service,
                target = creditedTarget.target,
                zone = creditedTarget.zone,
                candidates = candidates,
            )
    }

    /** Discards the credits of [session], for example because its target is gone. */
    fun dropCredits(session: AgentSession) {
        val target = session.target ?: return
        services.existingQueues(target.service)?.all?.forEach { it.pool.removeTarget(target.target) }
    }

    /** Adds credits granted by [session]. They are returned at once if its zone or target is out of service. */
    fun grant(
        session: AgentSession,
        slots: Int,
        connections: Int,
    ) {
        val target = session.target ?: return
        if (!session.acceptsWork) return
        val queues = services.queues(target.service)
        if (slots > 0) queues.tasks.pool.grant(target.target, session.zone, slots)
        if (connections > 0) queues.requests.pool.grant(target.target, session.zone, connections)
        if (lease.isInService(session.zone, target.target)) placeTasks(target.service) else returnCredits(session)
    }

    /** Returns unspent credits to [session], at most [slots] and [connections]. */
    fun returnCredits(
        session: AgentSession,
        slots: Int = Int.MAX_VALUE,
        connections: Int = Int.MAX_VALUE,
    ) {
        val target = session.target ?: return
        val queues = services.existingQueues(target.service) ?: return
        val returnedSlots = queues.tasks.pool.withdraw(target.target, slots)
        val returnedConnections = queues.requests.pool.withdraw(target.target, connections)
        if (returnedSlots + returnedConnections == 0) return
        counters.countWasted(WastedMessage.RETURNED_CREDIT, returnedSlots + returnedConnections)
        session.outbox.returnCredits(returnedSlots, returnedConnections)
        agents.requestFlush(session)
    }
}
