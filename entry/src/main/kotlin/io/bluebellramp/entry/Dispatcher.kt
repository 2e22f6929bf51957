package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.placement.CreditedTarget
import io.bluebellramp.placement.QueuedJob

/** Queues owned submissions and places their tasks against credits. No I/O. */
internal class Dispatcher(
    private val lease: LeaseKeeper,
    private val agents: AgentDirectory,
    private val services: ServiceTable,
    private val teams: TeamLedger,
    private val counters: Counters,
    private val sink: ActionSink,
) {
    private val open = HashMap<SubmissionId, Submission>()

    /** Adds an owned submission to its queue. */
    fun enqueue(submission: Submission) {
        open[submission.id] = submission
        teams.count(submission, waiting = submission.size)
        services.lane(submission).queue.add(
            QueuedJob(
                submission = submission.id,
                team = submission.new.team,
                tasks =
                    submission.new.tasks.indices
                        .toList(),
                arrived = submission.arrived,
                deadline = submission.deadline,
            ),
        )
        if (submission.new.idempotent) repeat(submission.size) { services.retries(submission).requested() }
        run(submission.new.service)
        if (services.lane(submission).queue.waiting > 0) agents.wakeIdle(submission.new.service)
    }

    /** Drops what waits of [submission] and cancels what is in flight. */
    fun drop(submission: Submission) {
        if (open.remove(submission.id) == null) return
        teams.count(
            submission,
            waiting =
                -services
                    .lane(submission)
                    .queue
                    .remove(submission.id)
                    .size,
        )
        submission.outstanding.values
            .toList()
            .forEach(::cancel)
        run(submission.new.service)
    }

    private fun cancel(attempt: Attempt) {
        val session = attempt.session
        if (!attempt.isSent && session.outbox.dispatches.remove(attempt)) {
            session.unresolved.remove(attempt.key)
            attempt.submission.outstanding.remove(attempt.task)
            attempt.release(services, teams)
            val pool = services.lane(attempt.submission).pool
            pool.notRun(attempt.target)
            pool.grant(target = attempt.target, zone = session.zone, credits = 1)
            return
        }
        session.outbox.cancels += attempt.reference
        agents.wake(session)
    }

    /** Notes that every task of [submission] has ended. */
    fun completed(submission: Submission) {
        open.remove(submission.id)
        services.lane(submission).queue.remove(submission.id)
    }

    /** Queues a task again of which the last attempt is settled. */
    fun again(
        submission: Submission,
        task: Int,
    ) {
        submission.attempts[task]++
        teams.count(submission, waiting = 1, running = -1)
        services.lane(submission).queue.giveBack(submission.id, task)
        run(submission.new.service)
    }

    /** Asks the agents about the attempts of [submission] that are not known to have started. */
    fun inquire(submission: Submission) =
        submission.outstanding.values.filter { !submission.isStarted(it.task) }.forEach {
            it.session.outbox.inquiries += it.reference
            agents.wake(it.session)
        }

    /** Places what can be placed. */
    fun runAll() = services.ids.toList().forEach(::run)

    /** Places what can be placed of [service]. */
    fun run(service: ServiceId) {
        if (!lease.isLive(services.now)) return
        val lanes = services.known(service) ?: return
        lanes.all.forEach(::run)
    }

    private fun run(lane: Lane) {
        if (lane.queue.waiting == 0) return
        val unspent = lane.pool.unspent()
        if (unspent.isEmpty()) return
        val candidates = Candidates.of(unspent)
        while (lane.queue.waiting > 0) if (!placeNext(lane, candidates)) return
    }

    private fun placeNext(
        lane: Lane,
        candidates: Candidates,
    ): Boolean {
        val spent = lane.pool.spend(services.now) ?: return false
        val session = agents.byTarget(spent.target)
        if (session == null) {
            lane.pool.drop(spent.target)
            return true
        }
        val pick = lane.queue.take(services.now)
        val submission = pick?.let { open[it.submission] }
        if (pick == null || submission == null) {
            lane.pool.notRun(spent.target)
            lane.pool.grant(target = spent.target, zone = spent.zone, credits = 1)
            return false
        }
        place(submission, pick.task, session, spent, candidates)
        return true
    }

    private fun place(
        submission: Submission,
        task: Int,
        session: AgentSession,
        spent: CreditedTarget,
        candidates: Candidates,
    ) {
        val attempt =
            Attempt(
                submission = submission,
                task = task,
                number = submission.attempts[task],
                session = session,
                target = spent.target,
                dispatched = services.now,
            )
        teams.count(submission, waiting = -1, running = 1)
        submission.outstanding[task] = attempt
        session.unresolved[attempt.key] = attempt
        session.outbox.dispatches += attempt
        counters.dispatched++
        agents.wake(session)
        sink +=
            Action.LogPlacement(
                submission = submission.id,
                task = task,
                attempt = attempt.number,
                service = submission.new.service,
                target = spent.target,
                zone = spent.zone,
                candidates = candidates,
            )
    }

    /** Forgets the credits of [session], for example because its target has gone. */
    fun dropCredits(session: AgentSession) {
        val target = session.target ?: return
        services.known(target.service)?.all?.forEach { it.pool.drop(target.target) }
    }

    /** Adds credits that [session] granted. */
    fun grant(
        session: AgentSession,
        slots: Int,
        connections: Int,
    ) {
        val target = session.target ?: return
        if (!session.takesWork) return
        val lanes = services.lanes(target.service)
        if (slots > 0) lanes.tasks.pool.grant(target.target, session.zone, slots)
        if (connections > 0) lanes.requests.pool.grant(target.target, session.zone, connections)
        if (lease.isInService(session.zone, target.target)) run(target.service) else giveBack(session)
    }

    /** Returns unspent credits of [session], at most as many as asked for. */
    fun giveBack(
        session: AgentSession,
        slots: Int = Int.MAX_VALUE,
        connections: Int = Int.MAX_VALUE,
    ) {
        val target = session.target ?: return
        val lanes = services.known(target.service) ?: return
        val slotsBack = lanes.tasks.pool.withdraw(target.target, slots)
        val connectionsBack = lanes.requests.pool.withdraw(target.target, connections)
        if (slotsBack + connectionsBack == 0) return
        counters.waste(Waste.RETURNED_CREDIT, slotsBack + connectionsBack)
        session.outbox.giveBack(slotsBack, connectionsBack)
        agents.wake(session)
    }
}
