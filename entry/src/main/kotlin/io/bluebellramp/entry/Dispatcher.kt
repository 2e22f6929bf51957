package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskStatus
import io.bluebellramp.placement.CreditedTarget
import io.bluebellramp.placement.DeadlineForecast
import io.bluebellramp.placement.QueuedJob
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Hears what becomes of the tasks of a submission. */
internal interface SubmissionListener {
    /** Every task has its result. */
    fun completed(submission: Submission)

    /** A task failed for good. */
    fun failed(
        submission: Submission,
        error: ErrorBody,
    )

    /** An attempt was settled while the submission is closing. */
    fun settled(submission: Submission)
}

/** Places waiting tasks against credits and takes their outcomes. A task moves on only by proof that it did not start. No I/O. */
internal class Dispatcher(
    private val lease: LeaseKeeper,
    private val agents: AgentDirectory,
    private val policies: PlacementPolicies,
    private val teams: TeamLedger,
    private val counters: Counters,
    private val sink: ActionSink,
) : AgentListener {
    private val services = LinkedHashMap<ServiceId, ServiceLanes>()
    private val open = HashMap<SubmissionId, Submission>()
    private var now = Duration.ZERO
    lateinit var listener: SubmissionListener

    /** Tasks and requests that wait. */
    val waiting: Int get() = services.values.sumOf { it.waiting }

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

    /** Sets the time for what follows. */
    fun advance(now: Duration) {
        this.now = now
    }

    /** Adds an owned submission to its queue. */
    fun enqueue(submission: Submission) {
        open[submission.id] = submission
        teams.count(submission, waiting = submission.size)
        lane(submission).queue.add(
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
        if (submission.new.idempotent) repeat(submission.size) { retries(submission).requested() }
        run(submission.new.service)
        if (lane(submission).queue.waiting > 0) agents.wakeIdle(submission.new.service)
    }

    /** Drops what waits of [submission] and cancels what is in flight. */
    fun drop(submission: Submission) {
        if (open.remove(submission.id) == null) return
        teams.count(submission, waiting = -lane(submission).queue.remove(submission.id).size)
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
            release(attempt)
            val pool = lane(attempt.submission).pool
            pool.notRun(attempt.target)
            pool.grant(target = attempt.target, zone = session.zone, credits = 1)
            return
        }
        session.outbox.cancels += attempt.reference
        agents.wake(session)
    }

    /** The attempt holds its place in the queue's count and in the quota no longer. */
    private fun release(attempt: Attempt) {
        lane(attempt.submission).queue.ended(attempt.submission.id, attempt.task)
        teams.count(attempt.submission, running = -1)
    }

    /** Asks the agents about the attempts of [submission] that are not known to have started. */
    fun inquire(submission: Submission) =
        submission.outstanding.values.filter { !submission.isStarted(it.task) }.forEach {
            it.session.outbox.inquiries += it.reference
            agents.wake(it.session)
        }

    /** Places what can be placed. */
    fun runAll() = services.keys.forEach(::run)

    /** Places what can be placed of [service]. */
    fun run(service: ServiceId) {
        if (!lease.isLive(now)) return
        val lanes = services[service] ?: return
        lanes.all.forEach { lane -> while (lane.queue.waiting > 0) if (!placeNext(lane)) break }
    }

    private fun placeNext(lane: Lane): Boolean {
        val spent = lane.pool.spend(now) ?: return false
        val session = agents.byTarget(spent.target)
        if (session == null) {
            lane.pool.drop(spent.target)
            return true
        }
        val pick = lane.queue.take(now)
        val submission = pick?.let { open[it.submission] }
        if (pick == null || submission == null) {
            lane.pool.notRun(spent.target)
            lane.pool.grant(target = spent.target, zone = spent.zone, credits = 1)
            return false
        }
        place(submission, pick.task, session, spent, lane)
        return true
    }

    private fun place(
        submission: Submission,
        task: Int,
        session: AgentSession,
        spent: CreditedTarget,
        lane: Lane,
    ) {
        val attempt =
            Attempt(
                submission = submission,
                task = task,
                number = submission.attempts[task],
                session = session,
                target = spent.target,
                dispatched = now,
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
                candidates = lane.pool.unspent(),
            )
    }

    /** Takes an outcome that [session] reported. One that was not asked for is dropped and counted. */
    fun outcome(
        session: AgentSession,
        outcome: TaskOutcome,
    ) {
        session.received++
        counters.outcome(outcome.status)
        val key = AttemptKey(outcome.submission, outcome.task, outcome.attempt)
        val attempt = session.unresolved[key]
        if (attempt == null || !attempt.isSent) {
            counters.waste(Waste.DUPLICATE_ANSWER)
            return
        }
        val submission = attempt.submission
        if (outcome.status == TaskStatus.RUNNING) {
            submission.markStarted(attempt.task)
            if (submission.phase == SubmissionPhase.CLOSING) listener.settled(submission)
            return
        }
        session.unresolved.remove(key)
        account(attempt, outcome)
        if (submission.outstanding[attempt.task] !== attempt) {
            counters.waste(Waste.DUPLICATE_ANSWER)
            return
        }
        submission.outstanding.remove(attempt.task)
        settle(attempt, outcome)
    }

    private fun account(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val pool = lane(attempt.submission).pool
        when (outcome.status) {
            TaskStatus.NOT_RUN -> {
                counters.waste(Waste.REFUSAL)
                pool.notRun(attempt.target)
            }

            else -> {
                pool.ended(
                    target = attempt.target,
                    ran = outcome.ranMicros.microseconds,
                    failed = outcome.status != TaskStatus.DONE,
                    now = now,
                )
            }
        }
    }

    private fun settle(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val submission = attempt.submission
        when (outcome.status) {
            TaskStatus.DONE -> submission.complete(attempt.task, outcome.result.orEmpty())
            TaskStatus.ERROR -> submission.markStarted(attempt.task)
            TaskStatus.UNKNOWN -> submission.markUnknown(attempt.task)
            TaskStatus.NOT_RUN, TaskStatus.RUNNING -> Unit
        }
        if (submission.phase == SubmissionPhase.OPEN) return proceed(attempt, outcome)
        release(attempt)
        if (submission.phase == SubmissionPhase.CLOSING) listener.settled(submission) else counters.waste(Waste.LATE_CANCEL)
    }

    private fun proceed(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val submission = attempt.submission
        when {
            outcome.status == TaskStatus.DONE -> {
                release(attempt)
                if (submission.isComplete) complete(submission)
            }

            outcome.status == TaskStatus.NOT_RUN || mayRetry(submission, attempt.task) -> {
                again(submission, attempt.task)
            }

            else -> {
                release(attempt)
                listener.failed(submission, error(attempt.task, outcome, submission))
            }
        }
    }

    private fun complete(submission: Submission) {
        open.remove(submission.id)
        lane(submission).queue.remove(submission.id)
        listener.completed(submission)
    }

    private fun again(
        submission: Submission,
        task: Int,
    ) {
        submission.attempts[task]++
        teams.count(submission, waiting = 1, running = -1)
        lane(submission).queue.giveBack(submission.id, task)
        run(submission.new.service)
    }

    private fun mayRetry(
        submission: Submission,
        task: Int,
    ): Boolean {
        if (!submission.new.idempotent) return false
        val made = submission.retries[task] ?: 0
        if (made >= MAX_RETRIES || !retries(submission).tryRetry()) return false
        submission.retries[task] = made + 1
        counters.waste(Waste.RETRY)
        return true
    }

    private fun error(
        task: Int,
        outcome: TaskOutcome,
        submission: Submission,
    ): ErrorBody {
        val code = if (outcome.status == TaskStatus.ERROR) ErrorCode.TASK_FAILED else ErrorCode.OUTCOME_UNKNOWN
        val id = submission.new.tasks[task].id
        val what = if (code == ErrorCode.TASK_FAILED) "Task $id failed" else "It is unknown whether task $id ran"
        return ErrorBody(code, "$what: ${outcome.reason ?: "no reason given"}.")
    }

    override fun creditsLost(session: AgentSession) = dropCredits(session)

    /** Forgets the credits of [session], for example because its target has gone. */
    fun dropCredits(session: AgentSession) {
        val target = session.target ?: return
        services[target.service]?.all?.forEach { it.pool.drop(target.target) }
    }

    /** Adds credits that [session] granted. */
    fun grant(
        session: AgentSession,
        slots: Int,
        connections: Int,
    ) {
        val target = session.target ?: return
        if (!session.takesWork) return
        val lanes = lanes(target.service)
        if (slots > 0) lanes.tasks.pool.grant(target.target, session.zone, slots)
        if (connections > 0) lanes.requests.pool.grant(target.target, session.zone, connections)
        run(target.service)
    }

    /** Returns unspent credits of [session], at most as many as asked for. */
    fun giveBack(
        session: AgentSession,
        slots: Int = Int.MAX_VALUE,
        connections: Int = Int.MAX_VALUE,
    ) {
        val target = session.target ?: return
        val lanes = services[target.service] ?: return
        val slotsBack = lanes.tasks.pool.withdraw(target.target, slots)
        val connectionsBack = lanes.requests.pool.withdraw(target.target, connections)
        if (slotsBack + connectionsBack == 0) return
        counters.waste(Waste.RETURNED_CREDIT, slotsBack + connectionsBack)
        session.outbox.giveBack(slotsBack, connectionsBack)
        agents.wake(session)
    }

    override fun neverSent(attempt: Attempt) = resolve(attempt, TaskStatus.NOT_RUN, "never sent")

    override fun outcomeLost(attempt: Attempt) = resolve(attempt, TaskStatus.UNKNOWN, "the agent ${attempt.session.agent} is gone")

    private fun resolve(
        attempt: Attempt,
        status: TaskStatus,
        reason: String,
    ) {
        val submission = attempt.submission
        if (submission.outstanding[attempt.task] !== attempt) return
        submission.outstanding.remove(attempt.task)
        settle(attempt, attempt.outcome(status, reason))
    }

    private fun Attempt.outcome(
        status: TaskStatus,
        reason: String,
    ) = TaskOutcome(submission = submission.id, task = task, attempt = number, status = status, reason = reason)

    private fun retries(submission: Submission) =
        lanes(submission.new.service).retries(share = lease.service(submission.new.service)?.retryShare ?: 0.0)

    private fun lanes(service: ServiceId) = services[service] ?: add(service)

    private fun add(service: ServiceId): ServiceLanes {
        val lanes = ServiceLanes(policies, teams)
        services[service] = lanes
        refreshSlots()
        return lanes
    }

    private fun lane(submission: Submission): Lane {
        val lanes = lanes(submission.new.service)
        return if (submission.new.kind == DispatchKind.TASK) lanes.tasks else lanes.requests
    }

    private companion object {
        const val MAX_RETRIES = 3
    }
}
