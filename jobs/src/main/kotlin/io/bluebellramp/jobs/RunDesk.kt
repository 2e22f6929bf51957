package io.bluebellramp.jobs

import io.bluebellramp.core.Clock
import io.bluebellramp.core.JobId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.QueueWork
import io.bluebellramp.messages.RoomReport
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskEvent
import io.bluebellramp.messages.TaskReport
import io.bluebellramp.placement.RunQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What a [RunDesk] tells the entries and the log. */
interface RunOutputs {
    /** Tells the entry at [link] what became of a task. */
    fun report(
        link: LinkId,
        report: TaskReport,
    )

    /** The room has changed. */
    fun roomChanged()

    /** Takes note of a decision. */
    fun decided(decision: JobDecision)
}

/**
 * The runs at the target of one VM, as a state machine without I/O. Used from one thread.
 *
 * It keeps the target within its capacity, holds a short lease on everything that runs there, and ends the runs of an entry whose link is
 * gone. A run takes room from the order to start it until its end is listed, or until the target can no longer have it.
 *
 * @param zone availability zone of the VM
 * @param lease how long a run goes on without news of this agent
 * @param fence greater than that of every earlier agent at this target
 */
class RunDesk(
    private val clock: Clock,
    private val target: TargetPort,
    private val outputs: RunOutputs,
    private val zone: ZoneId,
    lease: Duration,
    private var fence: Long,
) {
    private val runs = HashMap<TaskKey, Run>()
    private val queue = RunQueue<Run>()
    private val lastNumbers = LastNumbers()
    private val trouble = TargetTrouble()
    private var news: TargetNews? = null
    private var zonesOut: Set<ZoneId> = emptySet()
    private var isStopping = false

    /** Runs of an earlier agent. Their needs are not known, so nothing starts beside them. */
    private val foreign = HashSet<RunKey>()
    private val leases = TargetLease(clock, lease)
    private var acknowledged = 0L

    /** Runs that are not over. */
    val openRuns: Int get() = runs.size

    private val usedCpu get() = runs.values.sumOf { if (it.takesRoom) it.dispatch.milliCpu else 0 }
    private val usedMemory get() = runs.values.sumOf { if (it.takesRoom) it.dispatch.memoryMb else 0 }

    /** Why nothing may start now, or null. */
    private val closedFor: String?
        get() {
            val known = news
            return when {
                known == null -> "no target"
                known.isDraining -> "the target leaves"
                zone in zonesOut -> "zone $zone is out of service"
                isStopping -> "the agent stops"
                !leases.isReachable -> "the target cannot be reached"
                else -> null
            }
        }

    /** Sets the availability zones that get nothing new. */
    fun setZonesOut(zones: Set<ZoneId>) {
        zonesOut = zones
        advance()
    }

    /** Nothing new is taken from now on; what runs goes on. */
    fun drain() {
        isStopping = true
        advance()
    }

    /** Returns the room for the entries. */
    fun room(): RoomReport {
        val known = news ?: return RoomReport(accepting = false)
        val now = clock.monotonic()
        return RoomReport(
            service = known.service,
            accepting = closedFor == null,
            milliCpu = known.milliCpu,
            memoryMb = known.memoryMb,
            freeMilliCpu = known.milliCpu - usedCpu,
            freeMemoryMb = known.memoryMb - usedMemory,
            waiting = queue.waiting(now).map { (name, work) -> QueueWork(name, work) },
            slowness = trouble.slowness(now),
            failing = trouble.failing(now),
        )
    }

    /** The target told about itself. Returns false if [next] is older than what is known. */
    fun targetNews(next: TargetNews): Boolean {
        val known = news
        if (known != null) {
            if (next.life < known.life) return false
            if (next.id == known.id && next.life == known.life && next.sequence <= known.sequence) return false
        }
        if (known == null || known.id != next.id || known.life != next.life) replaceTarget(next)
        if (known != null && !known.isDraining && next.isDraining) note("target_leaves", null, "target" to next.id)
        news = next
        if (!leases.isAsked) askLease()
        advance()
        return true
    }

    /** The target [id] has left: whatever ran there is over. */
    fun targetLeft(id: TargetId) {
        if (news?.id != id) return
        note("target_gone", null, "target" to id)
        forgetTarget("the target left")
        news = null
        outputs.roomChanged()
    }

    /** The entry at [owner] dispatched tasks. */
    fun dispatch(
        owner: LinkId,
        dispatch: StepDispatch,
    ) {
        val now = clock.monotonic()
        for (index in dispatch.tasks) {
            val run = Run(owner, TaskKey(dispatch.job, dispatch.step, index), dispatch, now)
            val closed = closedFor
            val running = runs[run.task]
            when {
                closed != null -> {
                    notStarted(run, closed)
                }

                dispatch.service != news?.service -> {
                    notStarted(run, "the target runs another service")
                }

                running != null -> {
                    notStarted(run, "an earlier run is not over")
                    if (running.owner != owner) stop(running, "another entry owns the job")
                }

                else -> {
                    runs[run.task] = run
                    enqueue(run)
                }
            }
        }
        advance()
    }

    /** Ends all tasks of [job] that the entry at [owner] dispatched. */
    fun stopJob(
        owner: LinkId,
        job: JobId,
    ) = stopAll("the entry ended the job") { it.task.job == job && it.owner == owner }

    /** Ends all tasks of [job]. */
    fun cancel(job: JobId) = stopAll("the job was cancelled") { it.task.job == job }

    /** The link to an entry is lost: nobody waits for its tasks. */
    fun linkDown(owner: LinkId) = stopAll("the link to the entry is lost") { it.owner == owner }

    /** Lets time pass; call it every few milliseconds. */
    fun tick() {
        val now = clock.monotonic()
        leases.silentFor(now)?.let { note("target_silent", null, "since" to it) }
        if (leases.hasLapsed(now)) endLapsed()
        if (leases.mayAskAgain(now)) askLease()
        for (run in runs.values.toList()) {
            val sent = run.stopSentAt
            val isOpen = run.state == RunState.STOPPING && run.stopAnsweredAt == null
            if (isOpen && sent != null && now - sent > STOP_REPEAT) sendStop(run)
        }
        advance()
    }

    private fun replaceTarget(next: TargetNews) {
        note("target_seen", null, "target" to next.id, "life" to next.life, "cpu" to next.milliCpu)
        forgetTarget("the target started again")
        lastNumbers.clear()
        trouble.reset()
    }

    private fun forgetTarget(reason: String) {
        for (run in runs.values.filter { it.takesRoom }) over(run, TaskEvent.STOPPED, reason)
        foreign.clear()
        acknowledged = 0
        leases.forget()
    }

    private fun stopAll(
        reason: String,
        matches: (Run) -> Boolean,
    ) {
        queue.removeAll(matches).forEach { notStarted(it, reason) }
        runs.values.filter { it.takesRoom && matches(it) }.forEach { stop(it, reason) }
        advance()
    }

    private fun advance() {
        val now = clock.monotonic()
        val closed = closedFor
        if (closed != null) {
            queue.removeAll { true }.forEach { notStarted(it, closed) }
        } else {
            queue.takeExpired(now).forEach { notStarted(it, NO_ROOM) }
            if (foreign.isEmpty()) startFitting(now)
        }
        outputs.roomChanged()
    }

    private fun startFitting(now: Duration) {
        val known = news ?: return
        while (queue.size > 0) {
            val until = leases.nextEnd(now) ?: return
            val run = queue.takeFitting(now, known.milliCpu - usedCpu, known.memoryMb - usedMemory) ?: return
            order(run, known, until, now)
        }
    }

    private fun order(
        run: Run,
        known: TargetNews,
        until: Duration,
        now: Duration,
    ) {
        run.number = lastNumbers.next(run.task, run.dispatch.attempt)
        run.state = RunState.STARTING
        run.orderedAt = now
        leases.given(now)
        target.start(known.id, StartOrder(run.key, run.dispatch.spec, until, fence)) { started(run, it) }
    }

    private fun started(
        run: Run,
        result: StartResult,
    ) {
        if (runs[run.task] !== run) return
        when (result) {
            StartResult.Started -> confirm(run)
            StartResult.NoAnswer -> giveUp(run)
            is StartResult.Refused -> refused(run, result.refusal)
        }
        advance()
    }

    private fun giveUp(run: Run) {
        if (run.state != RunState.STARTING) return
        run.state = RunState.UNSURE
        run.givenUpAt = clock.monotonic()
        note("start_unanswered", run)
        // A list that was asked for before tells nothing of it, and the open call may wait for another end.
        askLease()
    }

    private fun confirm(run: Run) {
        if (!run.isKnownStarted) {
            run.confirmedAt = clock.monotonic()
            outputs.report(run.owner, run.report(TaskEvent.STARTED))
        }
        if (run.state == RunState.STARTING || run.state == RunState.UNSURE) run.state = RunState.RUNNING
    }

    private fun refused(
        run: Run,
        refusal: StartRefusal,
    ) {
        run.refusals++
        note("start_refused", run, "refusal" to refusal)
        // The target has none of its runs with this number, and an order to stop it bars it.
        if (run.state == RunState.STOPPING && refusal != StartRefusal.OLD_NUMBER) return over(run, TaskEvent.NOT_STARTED, run.reason)
        if (run.state == RunState.STOPPING) return
        val mayRepeat = run.refusals <= MOST_REPEATS
        when (refusal) {
            StartRefusal.FENCED -> fence += FENCE_STEP
            StartRefusal.OLD_NUMBER -> lastNumbers.skip(run.task, run.refusals)
            StartRefusal.LATE -> leases.forgetClock()
            else -> return over(run, TaskEvent.NOT_STARTED, refusal.name.lowercase())
        }
        if (!mayRepeat) return over(run, TaskEvent.NOT_STARTED, refusal.name.lowercase())
        run.state = RunState.QUEUED
        enqueue(run)
    }

    private fun enqueue(run: Run) {
        val needs = run.dispatch
        val startBy = run.receivedAt + needs.startWithinMillis.milliseconds
        val dueAt = run.receivedAt + needs.dueWithinMillis.milliseconds
        queue.add(run, needs.queue, needs.milliCpu, needs.memoryMb, needs.milliCpu * needs.estimateMillis, startBy, dueAt, needs.priority)
    }

    private fun stop(
        run: Run,
        reason: String,
    ) {
        if (run.state == RunState.STOPPING) return
        run.state = RunState.STOPPING
        run.reason = reason
        note("stopping", run, "reason" to reason)
        sendStop(run)
    }

    private fun sendStop(run: Run) {
        val known = news ?: return
        run.stopSentAt = clock.monotonic()
        target.stop(known.id, run.key, fence) { if (it) run.stopAnsweredAt = clock.monotonic() }
    }

    private fun askLease() {
        val known = news ?: return
        val now = clock.monotonic()
        val until = leases.nextEnd(now)
        val number = leases.ask()
        if (until != null) leases.given(now)
        // The first answer is needed at once for the clock of the target.
        val wait = if (until == null || foreign.isNotEmpty() || hasUnsettled()) Duration.ZERO else LEASE_WAIT
        target.lease(known.id, until, acknowledged, fence, wait) { if (leases.isLast(number)) leased(it, sentAt = now) }
    }

    private fun hasUnsettled() = runs.values.any { it.state == RunState.UNSURE || it.state == RunState.STOPPING }

    private fun leased(
        result: LeaseResult,
        sentAt: Duration,
    ) {
        leases.ended()
        if (news == null) return
        when (result) {
            is LeaseResult.Listed -> {
                listed(result, sentAt)
                askLease()
            }

            LeaseResult.OtherTarget -> {
                note("other_target", null, "target" to checkNotNull(news).id)
                forgetTarget("another target is at this address")
                news = null
            }

            // The next look at the time asks again.
            is LeaseResult.NoAnswer -> {}
        }
        advance()
    }

    private fun listed(
        result: LeaseResult.Listed,
        sentAt: Duration,
    ) {
        val now = clock.monotonic()
        if (leases.answered(result.clock, sentAt)) note("target_reached", null, "running" to result.running.size)
        for (end in result.ended) {
            if (end.number <= acknowledged) continue
            acknowledged = end.number
            lastNumbers.saw(end.run)
            val run = runs[end.run.task]?.takeIf { it.takesRoom && it.number == end.run.number } ?: continue
            ended(run, end.end, now)
        }
        settle(result.running, sentAt, now)
    }

    private fun ended(
        run: Run,
        end: RunEnd,
        now: Duration,
    ) {
        val ran = now - run.orderedAt
        when (end) {
            RunEnd.DONE -> {
                trouble.done(run, ran, now)
                over(run, TaskEvent.DONE, "", ran)
            }

            RunEnd.FAILED -> {
                trouble.failed(now)
                over(run, TaskEvent.FAILED, "the run failed", ran)
            }

            RunEnd.STOPPED -> {
                over(run, TaskEvent.STOPPED, run.reason.ifEmpty { "stopped" }, ran)
            }

            RunEnd.LAPSED -> {
                over(run, TaskEvent.STOPPED, "its lease ran out", ran)
            }
        }
    }

    /** Compares what the target says that it runs with what it should run. */
    private fun settle(
        running: Map<RunKey, Int>,
        sentAt: Duration,
        now: Duration,
    ) {
        foreign.clear()
        for ((key, percent) in running) {
            lastNumbers.saw(key)
            val run = runs[key.task]?.takeIf { it.takesRoom && it.number == key.number }
            if (run != null) watch(run, percent, now) else endForeign(key)
        }
        for (run in runs.values.toList()) {
            val settledAt = run.settledAt ?: continue
            if (run.key in running || settledAt >= sentAt) continue
            when (run.state) {
                // An order that got no answer and is not there may still come: stopping it bars it.
                RunState.UNSURE -> stop(run, "the order to start got no answer")

                RunState.STOPPING -> over(run, run.unlistedEnd, run.reason)

                else -> stop(run, "the target does not know the run")
            }
        }
    }

    /** Notices a run that stands still or drags. */
    private fun watch(
        run: Run,
        percent: Int,
        now: Duration,
    ) {
        confirm(run)
        if (!trouble.standsStill(run, percent, now)) return
        stop(run, "it stands still at $percent%")
    }

    private fun endForeign(key: RunKey) {
        foreign += key
        val known = news ?: return
        target.stop(known.id, key, fence) { }
    }

    /** The target has not been heard for longer than every lease lasts. */
    private fun endLapsed() {
        runs.values.filter { it.takesRoom }.forEach { over(it, it.unlistedEnd, "its lease ran out unseen") }
    }

    private fun over(
        run: Run,
        event: TaskEvent,
        reason: String,
        ran: Duration = Duration.ZERO,
    ) {
        runs.remove(run.task)
        if (event != TaskEvent.DONE) note("run_over", run, "event" to event.name.lowercase(), "reason" to reason)
        outputs.report(run.owner, run.report(event, reason, ran))
    }

    private fun notStarted(
        run: Run,
        reason: String,
    ) {
        if (runs[run.task] === run) runs.remove(run.task)
        note("not_started", run, "reason" to reason, "queued" to clock.monotonic() - run.receivedAt)
        outputs.report(run.owner, run.report(TaskEvent.NOT_STARTED, reason))
    }

    private fun note(
        kind: String,
        run: Run?,
        vararg details: Pair<String, Any>,
    ) {
        val task = run?.let { mapOf("task" to "${it.task.step}.${it.task.index}", "run" to it.number, "state" to it.state) }.orEmpty()
        outputs.decided(JobDecision(kind, run?.task?.job ?: NO_JOB, task + details))
    }

    private companion object {
        /** Time that the target may hold its answer to a lease; short against the lease, so that a lost answer costs no run. */
        val LEASE_WAIT = 150.milliseconds

        val STOP_REPEAT = 100.milliseconds

        /** Orders to start that are tried again after a refusal that the agent can mend. */
        const val MOST_REPEATS = 5
        const val FENCE_STEP = 1000L
        val NO_JOB = JobId("")
        const val NO_ROOM = "no room in time"
    }
}
