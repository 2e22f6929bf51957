package io.bluebellramp.jobs

import io.bluebellramp.core.Clock
import io.bluebellramp.core.JobId
import io.bluebellramp.core.ServiceId
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

/** The outputs of a [RunManager]. */
interface RunOutputs {
    /** Reports the state of a task to the entry at [link]. */
    fun report(
        link: LinkId,
        report: TaskReport,
    )

    /** Reports to all connected entries but the one at [from] that [job] was cancelled. */
    fun reportCancelled(
        job: JobId,
        from: LinkId,
    )

    /** Called when [RunManager.capacityReport] may have changed. */
    fun capacityChanged()

    /** Logs [decision]. */
    fun onDecision(decision: JobDecision)
}

/**
 * Manages the runs at the target of one VM: a state machine without I/O, used from one thread.
 *
 * It keeps the target within its capacity, holds a short lease on all runs, and stops the runs of an entry whose link is lost. A run uses
 * capacity from the order to start it until the target lists its end, or until it can no longer be running.
 *
 * Orders to stop may stay unanswered, and a target extends the leases of all its runs at once. So no lease is extended beyond the time by which one
 * of the runs must have ended ([leaseLimit]), although the other runs then end with it.
 *
 * @param zone availability zone of the VM
 * @param lease time after which the target ends all runs if this agent does not extend the lease
 * @param fence greater than the fence of every earlier agent of this target
 * @param longestLease longest lease that the target grants
 * @param leaseAfterContact longest time from the last contact with an entry ([entryReached]) until the end of any lease of its runs
 */
class RunManager(
    private val clock: Clock,
    private val target: TargetPort,
    private val outputs: RunOutputs,
    private val zone: ZoneId,
    private val lease: Duration,
    private var fence: Long,
    longestLease: Duration = lease,
    leaseAfterContact: Duration = Duration.INFINITE,
) {
    private val runs = HashMap<TaskKey, Run>()
    private val queue = RunQueue<Run>()
    private val runNumbers = RunNumbers()
    private val healthMonitor = TargetHealthMonitor()
    private val identity = TargetIdentity()
    private val currentTarget get() = identity.current
    private var zonesOut: Set<ZoneId> = emptySet()
    private var isStopping = false

    /** Runs that an earlier agent left. Their needs are unknown, so nothing starts until they have ended. */
    private val orphanedRuns = HashSet<RunKey>()
    private val targetLease = TargetLease(clock, lease, longestLease)
    private val contacts = EntryContacts(leaseAfterContact)
    private var isLeaseWithheld = false
    private var acknowledged = 0L

    /** Number of runs that are not over, including those that wait for capacity. */
    val openRuns: Int get() = runs.size

    /** True while no run is open and an open call to the target will tell of any change there, so that nothing is due soon. */
    val isIdle: Boolean
        get() =
            runs.isEmpty() && orphanedRuns.isEmpty() && targetLease.isReachable && targetLease.isCallOpen &&
                !identity.isUnconfirmed && !identity.hasLeft

    /** Service that the target offers, or null while there is no target. */
    val service: ServiceId? get() = currentTarget?.service

    /** Returns whether a run that the entry at [owner] dispatched is not over. */
    fun hasRunsOf(owner: LinkId): Boolean = runs.values.any { it.owner == owner }

    private val usedMilliCpu get() = runs.values.sumOf { if (it.usesCapacity) it.dispatch.milliCpu else 0 }
    private val usedMemoryMb get() = runs.values.sumOf { if (it.usesCapacity) it.dispatch.memoryMb else 0 }

    /** The reason why no run may start now, or null. */
    private val closedReason: String?
        get() {
            val current = currentTarget
            return when {
                current == null -> "no target"
                !identity.isAnnounced -> "the target started again and has not announced itself"
                current.isDraining || identity.hasLeft -> "the target leaves"
                zone in zonesOut -> "zone $zone is out of service"
                isStopping -> "the agent stops"
                !targetLease.isReachable -> "the target cannot be reached"
                isLeaseRunningOut -> "the leases are not extended"
                else -> null
            }
        }

    /** The time by which every lease must have ended. No lease is extended while there are runs that nobody here has started. */
    private val leaseLimit: Duration
        get() = if (orphanedRuns.isEmpty()) runs.values.minOfOrNull { leaseLimit(it) } ?: Duration.INFINITE else Duration.ZERO

    /** True if a run started now would soon end with its lease. */
    private val isLeaseRunningOut get() = orphanedRuns.isEmpty() && leaseLimit < clock.monotonic() + SHORTEST_LEASE

    /** Sets the availability zones that get no new runs. */
    fun setZonesOut(zones: Set<ZoneId>) {
        zonesOut = zones
        advance()
    }

    /** Accepts no new tasks from now on. Runs continue. */
    fun drain() {
        isStopping = true
        advance()
    }

    /** Creates the capacity report for the entries. */
    fun capacityReport(): RoomReport {
        val current = currentTarget ?: return RoomReport(accepting = false)
        val now = clock.monotonic()
        return RoomReport(
            service = current.service,
            kind = current.kind,
            accepting = closedReason == null,
            milliCpu = current.milliCpu,
            memoryMb = current.memoryMb,
            freeMilliCpu = current.milliCpu - usedMilliCpu,
            freeMemoryMb = current.memoryMb - usedMemoryMb,
            waiting = queue.cpuMicrosByQueue(now).map { (name, cpuMicros) -> QueueWork(name, cpuMicros) },
            slowness = healthMonitor.slowness(now),
            failing = healthMonitor.failureRate(now),
        )
    }

    /**
     * Processes an announcement of the target. Returns false if [next] is older than the last one of the same life. An announcement of
     * another life is in force once the target has answered as that life.
     */
    fun targetAnnounced(next: TargetDescription): Boolean {
        val wasDraining = currentTarget?.isDraining == true
        when (identity.announced(next)) {
            Announcement.OUTDATED -> {
                return false
            }

            Announcement.UPDATED -> {
                if (!wasDraining && next.isDraining) recordDecision("target_leaves", null, "target" to next.id)
                if (!targetLease.isCallOpen) requestLease()
            }

            Announcement.FIRST -> {
                onTargetSeen(next)
                requestLease()
            }

            Announcement.UNCONFIRMED -> {
                recordDecision(
                    "target_unconfirmed",
                    null,
                    "target" to next.id,
                    "life" to next.life,
                    "current" to currentTarget?.life.toString(),
                )
                requestLease()
            }
        }
        advance()
        return true
    }

    /**
     * Records that the target [id] leaves for good. Its runs may go on for a moment, so they are over once they are listed as ended, once their leases
     * have expired, or once another target is at the address.
     *
     * @param life the life that leaves, or null if it is not known; a life other than the current one is ignored
     */
    fun targetLeft(
        id: TargetId,
        life: Long? = null,
    ) {
        val current = currentTarget ?: return
        if (current.id != id || identity.hasLeft || (life != null && life != current.life)) return
        recordDecision("target_gone", null, "target" to id, "runs" to runs.values.count { it.usesCapacity })
        identity.leaves()
        endRunsOfLeavingTarget()
        advance()
    }

    /** Processes tasks dispatched by the entry at [owner]. */
    fun dispatch(
        owner: LinkId,
        dispatch: StepDispatch,
    ) {
        val now = clock.monotonic()
        for (index in dispatch.tasks) {
            val run = Run(owner, TaskKey(dispatch.job, dispatch.step, index), dispatch, now)
            val reason = closedReason
            val running = runs[run.task]
            when {
                reason != null -> {
                    finishNotStarted(run, reason)
                }

                dispatch.service != currentTarget?.service -> {
                    finishNotStarted(run, "the target runs another service")
                }

                running != null -> {
                    finishNotStarted(run, "an earlier run is not over")
                    if (running.owner != owner) requestStop(running, "another entry owns the job")
                }

                else -> {
                    runs[run.task] = run
                    enqueue(run)
                }
            }
        }
        advance()
    }

    /** Stops all tasks of [job] that the entry at [owner] dispatched. */
    fun stopJob(
        owner: LinkId,
        job: JobId,
    ) = stopAll("the entry ended the job") { it.task.job == job && it.owner == owner }

    /**
     * Stops all tasks of [job], whichever entry dispatched them. The other entries learn of the cancel before they learn that the tasks have stopped,
     * because the owner would otherwise take these for lost and dispatch them again.
     */
    fun cancel(
        job: JobId,
        from: LinkId,
    ) {
        outputs.reportCancelled(job, from)
        stopAll("the job was cancelled") { it.task.job == job }
    }

    /** Records that the entry at [owner] has received a frame that this agent sent at [sentAt] or later. */
    fun entryReached(
        owner: LinkId,
        sentAt: Duration,
    ) = contacts.reached(owner, sentAt)

    /** Records that the link to an entry is lost, and stops its tasks. */
    fun linkDown(owner: LinkId) {
        contacts.lost(owner)
        stopAll("the link to the entry is lost") { it.owner == owner }
    }

    /** Handles everything that is due by now. Must be called every few milliseconds, less often while [isIdle]. */
    fun tick() {
        val now = clock.monotonic()
        targetLease.detectSilence(now)?.let { recordDecision("target_silent", null, "since" to it) }
        if (targetLease.hasLapsed(now)) endExpiredRuns()
        if (identity.hasLeft) endRunsOfLeavingTarget()
        if (targetLease.isRetryDue(now)) requestLease()
        for (run in runs.values.toList()) {
            val sent = run.stopSentAt
            val isOpen = run.state == RunState.STOPPING && run.stopAnsweredAt == null
            if (isOpen && sent != null && now - sent > STOP_RETRY_PERIOD) sendStop(run)
        }
        contacts.forgetLostLinks(::hasRunsOf)
        recordWithheldLease(now)
        advance()
    }

    /** The time by which the leases must have ended so that [run] ends in time whether or not its order to stop arrives. */
    private fun leaseLimit(run: Run): Duration {
        val cannotGoOn = run.isStopAnswered || (run.isUnlisted && targetLease.isReachable)
        if (cannotGoOn) return Duration.INFINITE
        val stopLimit = run.stopRequestedAt?.plus(lease) ?: Duration.INFINITE
        return minOf(stopLimit, contacts.latestLeaseEnd(run.owner))
    }

    /** Logs when leases begin and cease to run out for the sake of one run. */
    private fun recordWithheldLease(now: Duration) {
        if (isLeaseWithheld == isLeaseRunningOut) return
        isLeaseWithheld = isLeaseRunningOut
        val cause = runs.values.minByOrNull { leaseLimit(it) }
        if (!isLeaseWithheld || cause == null) return recordDecision("leases_extended", null, "runs" to runs.size)
        recordDecision(
            "leases_withheld",
            cause,
            "limit" to leaseLimit(cause) - now,
            "stop_age" to (cause.stopRequestedAt?.let { now - it } ?: "none"),
            "runs" to runs.size,
        )
    }

    private fun onTargetSeen(next: TargetDescription) {
        recordDecision("target_seen", null, "target" to next.id, "life" to next.life, "cpu" to next.milliCpu)
        forgetTarget("another target is at this address")
        runNumbers.clear()
        healthMonitor.reset()
    }

    /** Forgets a target that has left once none of its runs can go on. */
    private fun endRunsOfLeavingTarget() {
        val isOver = targetLease.allExpired(clock.monotonic()) || runs.values.none { it.usesCapacity }
        if (isOver) replaceTarget("the target left")
    }

    /** Forgets the current target because it is gone, and turns to the one that has announced itself since, if any. */
    private fun replaceTarget(reason: String) {
        forgetTarget(reason)
        identity.gone()
        val next = currentTarget ?: return
        onTargetSeen(next)
        requestLease()
    }

    /** Ends all runs because the target that had them is gone. */
    private fun forgetTarget(reason: String) {
        for (run in runs.values.filter { it.usesCapacity }) finish(run, TaskEvent.STOPPED, reason)
        orphanedRuns.clear()
        acknowledged = 0
        targetLease.reset()
    }

    /**
     * Prepares for the list of a new life of the same target. Runs end only by that list, since an order to start that was sent to the former
     * life may have reached the new one.
     */
    private fun onTargetRestarted(life: Long) {
        recordDecision("target_restarted", null, "target" to checkNotNull(currentTarget).id, "life" to life)
        acknowledged = 0
        healthMonitor.reset()
        targetLease.targetRestarted(clock.monotonic())
        // The new life does not know the orders to stop that the former one answered.
        for (run in runs.values.filter { it.state == RunState.STOPPING }) run.stopAnsweredAt = null
    }

    private fun stopAll(
        reason: String,
        matches: (Run) -> Boolean,
    ) {
        queue.removeAll(matches).forEach { finishNotStarted(it, reason) }
        runs.values.filter { it.usesCapacity && matches(it) }.forEach { requestStop(it, reason) }
        advance()
    }

    private fun advance() {
        val now = clock.monotonic()
        val reason = closedReason
        if (reason != null) {
            queue.removeAll { true }.forEach { finishNotStarted(it, reason) }
        } else {
            queue.takeExpired(now).forEach { finishNotStarted(it, NO_CAPACITY) }
            if (orphanedRuns.isEmpty() && !identity.isUnconfirmed) startFitting(now)
        }
        outputs.capacityChanged()
    }

    private fun startFitting(now: Duration) {
        val current = currentTarget ?: return
        while (queue.size > 0) {
            val until = targetLease.leaseEndFrom(now, leaseLimit) ?: return
            val run = queue.takeFitting(now, current.milliCpu - usedMilliCpu, current.memoryMb - usedMemoryMb) ?: return
            sendStart(run, current, until, now)
        }
    }

    private fun sendStart(
        run: Run,
        current: TargetDescription,
        until: Duration,
        now: Duration,
    ) {
        run.number = runNumbers.next(run.task, run.dispatch.attempt)
        run.state = RunState.STARTING
        run.orderedAt = now
        run.orderedAtLife = current.life
        targetLease.granted(now)
        target.start(current.id, StartOrder(run.key, run.dispatch.spec, until, fence)) { onStartResult(run, it) }
    }

    private fun onStartResult(
        run: Run,
        result: StartResult,
    ) {
        if (runs[run.task] !== run) return
        when (result) {
            StartResult.Started -> confirmStarted(run)
            StartResult.NoAnswer -> markUnsure(run)
            is StartResult.Refused -> onRefused(run, result.refusal)
        }
        advance()
    }

    private fun markUnsure(run: Run) {
        if (run.state != RunState.STARTING) return
        run.state = RunState.UNSURE
        run.startUnansweredAt = clock.monotonic()
        recordDecision("start_unanswered", run)
        // A list requested earlier is no evidence of this run, and the open call may wait until another run ends.
        requestLease()
    }

    private fun confirmStarted(run: Run) {
        if (!run.isKnownStarted) {
            run.confirmedAt = clock.monotonic()
            outputs.report(run.owner, run.report(TaskEvent.STARTED))
        }
        if (run.state == RunState.STARTING || run.state == RunState.UNSURE) run.state = RunState.RUNNING
    }

    private fun onRefused(
        run: Run,
        refusal: StartRefusal,
    ) {
        run.refusals++
        recordDecision("start_refused", run, "refusal" to refusal)
        // The target has not started this run, and the order to stop keeps it from starting.
        if (run.state == RunState.STOPPING && refusal != StartRefusal.OLD_NUMBER) return finish(run, TaskEvent.NOT_STARTED, run.stopReason)
        if (run.state == RunState.STOPPING) return
        val mayRetry = run.refusals <= MAX_START_RETRIES
        when (refusal) {
            StartRefusal.FENCED -> fence += FENCE_STEP
            StartRefusal.OLD_NUMBER -> runNumbers.skip(run.task, run.refusals)
            StartRefusal.LATE -> targetLease.forgetClock()
            else -> return finish(run, TaskEvent.NOT_STARTED, refusal.name.lowercase())
        }
        if (!mayRetry) return finish(run, TaskEvent.NOT_STARTED, refusal.name.lowercase())
        run.state = RunState.QUEUED
        enqueue(run)
    }

    private fun enqueue(run: Run) {
        val needs = run.dispatch
        val startBy = run.receivedAt + needs.startWithinMillis.milliseconds
        val dueAt = run.receivedAt + needs.dueWithinMillis.milliseconds
        queue.add(run, needs.queue, needs.milliCpu, needs.memoryMb, needs.milliCpu * needs.estimateMillis, startBy, dueAt, needs.priority)
    }

    private fun requestStop(
        run: Run,
        reason: String,
    ) {
        if (run.state == RunState.STOPPING) return
        run.state = RunState.STOPPING
        run.stopRequestedAt = clock.monotonic()
        run.stopReason = reason
        recordDecision("stopping", run, "reason" to reason)
        sendStop(run)
    }

    private fun sendStop(run: Run) {
        val current = currentTarget ?: return
        run.stopSentAt = clock.monotonic()
        target.stop(current.id, run.key, fence) { if (it) run.stopAnsweredAt = clock.monotonic() }
    }

    private fun requestLease() {
        val current = currentTarget ?: return
        // The leases of a target that has left are not extended; it is called only to find out whether another one has taken its place.
        if (identity.hasLeft && !identity.isUnconfirmed) return
        val now = clock.monotonic()
        val until = if (identity.hasLeft) null else targetLease.leaseEndFrom(now, leaseLimit)
        val number = targetLease.callStarted()
        if (until != null) targetLease.granted(now)
        // The first answer is needed at once to learn the clock of the target.
        val isUrgent = !targetLease.isClockKnown || orphanedRuns.isNotEmpty() || identity.isUnconfirmed || hasUncertainRun()
        val wait = if (isUrgent) Duration.ZERO else MAX_LEASE_ANSWER_DELAY
        target.lease(current.id, until, acknowledged, fence, wait) { if (targetLease.isLatestCall(number)) onLeaseResult(it, sentAt = now) }
    }

    private fun hasUncertainRun() = runs.values.any { it.state == RunState.UNSURE || it.state == RunState.STOPPING }

    private fun onLeaseResult(
        result: LeaseResult,
        sentAt: Duration,
    ) {
        targetLease.callEnded()
        if (currentTarget == null) return
        when (result) {
            is LeaseResult.RunList -> {
                processList(result, sentAt)
                requestLease()
            }

            LeaseResult.OtherTarget -> {
                recordDecision("other_target", null, "target" to checkNotNull(currentTarget).id)
                replaceTarget("another target is at this address")
            }

            // The next tick retries the call.
            is LeaseResult.NoAnswer -> {}
        }
        advance()
    }

    private fun processList(
        result: LeaseResult.RunList,
        sentAt: Duration,
    ) {
        val now = clock.monotonic()
        val isNewLife = identity.answered(result.life)
        if (isNewLife) onTargetRestarted(checkNotNull(currentTarget).life)
        if (targetLease.callAnswered(result.clock, sentAt)) recordDecision("target_reached", null, "running" to result.running.size)
        for (end in result.ended) {
            if (end.number <= acknowledged) continue
            acknowledged = end.number
            runNumbers.observe(end.run)
            val run = runs[end.run.task]?.takeIf { it.usesCapacity && it.number == end.run.number } ?: continue
            onRunEnded(run, end.end, now)
        }
        reconcile(result, sentAt, now, isNewLife)
    }

    private fun onRunEnded(
        run: Run,
        end: RunEnd,
        now: Duration,
    ) {
        val ran = now - run.orderedAt
        when (end) {
            RunEnd.DONE -> {
                healthMonitor.runCompleted(run, ran, now)
                finish(run, TaskEvent.DONE, "", ran)
            }

            RunEnd.FAILED -> {
                healthMonitor.runFailed(now)
                finish(run, TaskEvent.FAILED, "the run failed", ran)
            }

            RunEnd.STOPPED -> {
                finish(run, TaskEvent.STOPPED, run.stopReason.ifEmpty { "stopped" }, ran)
            }

            RunEnd.LAPSED -> {
                finish(run, TaskEvent.STOPPED, "its lease ran out", ran)
            }
        }
    }

    /** Reconciles the runs listed by the target with those that should be running. */
    private fun reconcile(
        list: LeaseResult.RunList,
        sentAt: Duration,
        now: Duration,
        isNewLife: Boolean,
    ) {
        val running = list.running
        orphanedRuns.clear()
        for ((key, percent) in running) {
            runNumbers.observe(key)
            val run = runs[key.task]?.takeIf { it.usesCapacity && it.number == key.number }
            if (run != null) checkProgress(run, percent, now) else stopOrphanedRun(key)
        }
        if (!list.isComplete) return
        for (run in runs.values.toList()) {
            run.updateListing(isListed = run.key in running, requestedAt = sentAt)
            val lastAnswerAt = run.lastAnswerAt ?: continue
            if (run.key in running || lastAnswerAt >= sentAt) continue
            when (run.state) {
                // The unanswered order to start may still arrive; an order to stop keeps the run from starting.
                RunState.UNSURE -> {
                    requestStop(run, "the order to start got no answer")
                }

                RunState.STOPPING -> {
                    finish(run, run.eventIfUnlisted(listedBy = list.life), run.stopReason)
                }

                // The run was at the former life if this is the first list of a new one: its order to start had been answered before.
                else -> {
                    if (isNewLife) {
                        finish(
                            run,
                            TaskEvent.STOPPED,
                            TARGET_RESTARTED,
                        )
                    } else {
                        requestStop(run, "the target does not know the run")
                    }
                }
            }
        }
    }

    /** Updates the progress of a run and stops it if it has stalled. */
    private fun checkProgress(
        run: Run,
        percent: Int,
        now: Duration,
    ) {
        confirmStarted(run)
        if (!healthMonitor.hasStalled(run, percent, now)) return
        requestStop(run, "it stands still at $percent%")
    }

    private fun stopOrphanedRun(key: RunKey) {
        orphanedRuns += key
        val current = currentTarget ?: return
        target.stop(current.id, key, fence) { }
    }

    /** Ends all runs because the target is unreachable and every lease has expired. Without a list nothing proves that one never started. */
    private fun endExpiredRuns() {
        runs.values.filter { it.usesCapacity }.forEach { finish(it, TaskEvent.STOPPED, "its lease ran out unseen") }
    }

    private fun finish(
        run: Run,
        event: TaskEvent,
        reason: String,
        ran: Duration = Duration.ZERO,
    ) {
        runs.remove(run.task)
        if (event != TaskEvent.DONE) recordDecision("run_over", run, "event" to event.name.lowercase(), "reason" to reason)
        outputs.report(run.owner, run.report(event, reason, ran))
    }

    private fun finishNotStarted(
        run: Run,
        reason: String,
    ) {
        if (runs[run.task] === run) runs.remove(run.task)
        recordDecision("not_started", run, "reason" to reason, "queued" to clock.monotonic() - run.receivedAt)
        outputs.report(run.owner, run.report(TaskEvent.NOT_STARTED, reason))
    }

    private fun recordDecision(
        kind: String,
        run: Run?,
        vararg details: Pair<String, Any>,
    ) {
        val task = run?.let { mapOf("task" to "${it.task.step}.${it.task.index}", "run" to it.number, "state" to it.state) }.orEmpty()
        outputs.onDecision(JobDecision(kind, run?.task?.job ?: JobDecision.NO_JOB, task + details))
    }

    private companion object {
        /**
         * Longest time for which the target may delay its answer to a lease call. Short compared with the lease, so that a lost answer ends
         * no run.
         */
        val MAX_LEASE_ANSWER_DELAY = 150.milliseconds

        /** Lets several orders to stop a run be tried before its lease must end. A target answers within 1 or 2 ms. */
        val STOP_RETRY_PERIOD = 30.milliseconds

        /** With less than this left until the leases must end, new runs are not worth their start. */
        val SHORTEST_LEASE = 200.milliseconds

        /** Number of retries of an order to start after refusals that the agent can correct. */
        const val MAX_START_RETRIES = 5
        const val FENCE_STEP = 1000L
        const val NO_CAPACITY = "no room in time"
        const val TARGET_RESTARTED = "the target started again"
    }
}
