package io.bluebellramp.jobs.history

import io.bluebellramp.core.JobId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.jobs.Caller
import io.bluebellramp.jobs.DispatchOutbox
import io.bluebellramp.jobs.JobAnswer
import io.bluebellramp.jobs.JobDecision
import io.bluebellramp.jobs.JobOutputs
import io.bluebellramp.jobs.JobRequest
import io.bluebellramp.jobs.JobScheduler
import io.bluebellramp.jobs.LeaseResult
import io.bluebellramp.jobs.LinkId
import io.bluebellramp.jobs.QUEUE
import io.bluebellramp.jobs.RunKey
import io.bluebellramp.jobs.RunManager
import io.bluebellramp.jobs.RunOutputs
import io.bluebellramp.jobs.SERVICE
import io.bluebellramp.jobs.StartOrder
import io.bluebellramp.jobs.StartRefusal
import io.bluebellramp.jobs.StartResult
import io.bluebellramp.jobs.StepRequest
import io.bluebellramp.jobs.TargetDescription
import io.bluebellramp.jobs.TargetPort
import io.bluebellramp.jobs.node.LinkTiming
import io.bluebellramp.jobs.node.SentFrames
import io.bluebellramp.messages.DispatchFrame
import io.bluebellramp.messages.RoomReport
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A connection between an entry and an agent. Each direction can be cut. */
internal class SimLink(
    private val sim: Simulation,
    val id: LinkId,
    val entry: SimEntry,
    val agent: SimAgent,
) {
    private val directionToAgent = Direction()
    private val directionToEntry = Direction()

    /** Cuts or restores each direction. Frames sent while a direction is cut arrive after it is restored, as without a connection reset. */
    fun cut(
        toAgent: Boolean,
        toEntry: Boolean,
    ) {
        directionToAgent.setCut(toAgent)
        directionToEntry.setCut(toEntry)
    }

    private class Direction {
        private var isCut = false
        private val heldFrames = ArrayList<() -> Unit>()

        fun setCut(cut: Boolean) {
            isCut = cut
            if (cut) return
            val delayedFrames = heldFrames.toList()
            heldFrames.clear()
            delayedFrames.forEach { it() }
        }

        fun deliver(action: () -> Unit) {
            if (isCut) heldFrames += action else action()
        }
    }

    private var lastArrivalAtAgent = Duration.ZERO
    private var lastArrivalAtEntry = Duration.ZERO
    private var entryHeardAt = sim.monotonic()
    private var agentHeardAt = sim.monotonic()
    private var isEntryOpen = true
    private var isAgentOpen = true
    private var received = 0L
    private var framesAtEntry = 0L
    private val sentFrames = SentFrames()
    private var lastReport: RoomReport? = null
    private var retiringSince: Duration? = null
    val isClosed get() = !isEntryOpen && !isAgentOpen

    fun sendToAgent(action: () -> Unit) {
        val count = framesAtEntry
        lastArrivalAtAgent = maxOf(lastArrivalAtAgent, sim.monotonic() + sim.messageDelay())
        sim.after(lastArrivalAtAgent - sim.monotonic()) {
            directionToAgent.deliver {
                if (!isAgentOpen || !agent.isAlive) return@deliver
                agentHeardAt = sim.monotonic()
                sentFrames.received(count)?.let { agent.runManager.entryReached(id, it) }
                action()
            }
        }
    }

    fun sendToEntry(action: () -> Unit) {
        sentFrames.sent(sim.monotonic())
        lastArrivalAtEntry = maxOf(lastArrivalAtEntry, sim.monotonic() + sim.messageDelay())
        sim.after(lastArrivalAtEntry - sim.monotonic()) {
            directionToEntry.deliver {
                if (!isEntryOpen || !entry.isAlive) return@deliver
                entryHeardAt = sim.monotonic()
                framesAtEntry++
                action()
            }
        }
    }

    fun addReceived(count: Int) {
        received += count
    }

    fun sendHeartbeats() {
        if (isAgentOpen) {
            sendReport()
        }
        if (isEntryOpen) sendToAgent { }
        val now = sim.monotonic()
        if (isEntryOpen && now - entryHeardAt > LinkTiming.LINK_TIMEOUT) closeAtEntry()
        if (isAgentOpen && now - agentHeardAt > LinkTiming.LINK_TIMEOUT) closeAtAgent()
    }

    private fun sendReport() {
        val since = retiringSince
        if (since != null && sim.monotonic() - since > RETIREMENT_DELAY && !agent.runManager.hasRunsOf(id)) return closeAtAgentAndEntry()
        val capacity = agent.runManager.capacityReport()
        val report = capacity.copy(received = received, accepting = capacity.accepting && since == null)
        if (report == lastReport) return sendToEntry { entry.scheduler.capacityConfirmed(id) }
        lastReport = report
        sendToEntry { entry.scheduler.capacityReported(id, report) }
    }

    /** Lets the agent give up the link as one that is no longer in its subset: without new tasks, and once the old ones have ended. */
    fun retire() {
        retiringSince = sim.monotonic()
    }

    private fun closeAtAgentAndEntry() {
        closeAtAgent()
        sendToEntry { closeAtEntry() }
    }

    /** Closes both ends, as after the death of a process or a reset of the connection. */
    fun reset() {
        sim.after(sim.messageDelay()) { closeAtEntry() }
        sim.after(sim.messageDelay()) { closeAtAgent() }
    }

    private fun closeAtEntry() {
        if (!isEntryOpen) return
        isEntryOpen = false
        sendToAgent { closeAtAgent() }
        if (entry.isAlive) entry.scheduler.linkDown(id, entryHeardAt)
    }

    private fun closeAtAgent() {
        if (!isAgentOpen) return
        isAgentOpen = false
        if (agent.isAlive) agent.runManager.linkDown(id)
    }

    private companion object {
        val RETIREMENT_DELAY = 1.seconds
    }
}

internal class SimEntry(
    private val sim: Simulation,
) {
    val links = HashMap<LinkId, SimLink>()
    var isAlive = true
    val scheduler = JobScheduler(sim, Outputs(), LinkTiming.LOST_LINK_RUN_TIMEOUT, sim.random)

    init {
        sim.every(LinkTiming.TICK, { isAlive }) { scheduler.tick() }
    }

    private val outboxes = LinkedHashMap<LinkId, DispatchOutbox>()

    fun cancel(job: JobId): Boolean {
        links.keys.forEach { outbox(it).cancel(job) }
        return scheduler.cancel(job)
    }

    private fun outbox(link: LinkId): DispatchOutbox {
        if (outboxes.isEmpty()) sim.after(Duration.ZERO, ::flush)
        return outboxes.getOrPut(link) { DispatchOutbox() }
    }

    private fun flush() {
        val pending = outboxes.toMap()
        outboxes.clear()
        if (isAlive) pending.forEach { (link, outbox) -> links[link]?.let { send(it, outbox.take()) } }
    }

    private fun send(
        link: SimLink,
        frames: List<DispatchFrame>,
    ) = frames.forEach { frame ->
        link.sendToAgent {
            val runManager = link.agent.runManager
            frame.stops.forEach { runManager.stopJob(link.id, it) }
            frame.cancels.forEach { runManager.cancel(it, link.id) }
            frame.dispatches.forEach {
                link.addReceived(it.tasks.size)
                runManager.dispatch(link.id, it)
            }
        }
    }

    private inner class Outputs : JobOutputs {
        override fun dispatch(
            link: LinkId,
            dispatch: StepDispatch,
        ) = outbox(link).dispatch(dispatch)

        override fun stop(
            link: LinkId,
            job: JobId,
        ) = outbox(link).stop(job)

        override fun onDecision(decision: JobDecision) = Unit
    }
}

/**
 * One life of an agent. With [hasOrderFaults], answers of the target may be lost and orders may be delayed by seconds.
 *
 * @param lateStops share of the orders to stop that get no answer and are carried out seconds later
 */
internal class SimAgent(
    private val sim: Simulation,
    private val target: SimTarget,
    private val hasOrderFaults: () -> Boolean,
    fence: Long,
    private val lateStops: Double = 0.0,
) {
    val links = HashMap<LinkId, SimLink>()
    var isAlive = true
    val runManager =
        RunManager(
            sim,
            Port(),
            Outputs(),
            ZoneId("z"),
            LinkTiming.RUN_LEASE,
            fence,
            leaseAfterContact = LinkTiming.LEASE_AFTER_CONTACT,
        )

    init {
        sim.every(LinkTiming.TICK, { isAlive }) { runManager.tick() }
        sim.every(300.milliseconds, { isAlive }) { announceTarget() }
        announceTarget()
    }

    fun announceTarget() {
        val description =
            TargetDescription(target.id, target.life, target.nextSequence(), SERVICE, false, SimTarget.MILLI_CPU, 1000, "10.0.0.1:1")
        sim.after(sim.messageDelay()) { if (isAlive) runManager.targetAnnounced(description) }
    }

    private inner class Port : TargetPort {
        override fun start(
            target: TargetId,
            order: StartOrder,
            onResult: (StartResult) -> Unit,
        ) = call(target, StartResult.Refused(StartRefusal.OTHER_TARGET), StartResult.NoAnswer, ORDER_TIMEOUT, onResult) { answer ->
            val runTime = order.spec.toLong().milliseconds
            val result = this@SimAgent.target.start(order, milliCpu = TASK_MILLI_CPU, runTime = runTime)
            val crashes = result == StartResult.Started && hasOrderFaults() && sim.chance(0.02)
            // A task may bring its target down before the order is answered.
            if (crashes) this@SimAgent.target.crash(keepsId = sim.chance(0.5))
            answer(if (crashes) StartResult.NoAnswer else result)
        }

        override fun stop(
            target: TargetId,
            run: RunKey,
            fence: Long,
            onResult: (Boolean) -> Unit,
        ) = call(target, false, false, ORDER_TIMEOUT, onResult, lateStops) { answer ->
            this@SimAgent.target.stop(run)
            answer(true)
        }

        override fun lease(
            target: TargetId,
            leaseUntil: Duration?,
            acknowledged: Long,
            fence: Long,
            wait: Duration,
            onResult: (LeaseResult) -> Unit,
        ) = call(target, LeaseResult.OtherTarget, LeaseResult.NoAnswer("lost"), wait + 150.milliseconds, onResult) { answer ->
            this@SimAgent.target.lease(leaseUntil, acknowledged, fence, wait, answer)
        }

        private fun <T> call(
            expected: TargetId,
            otherTarget: T,
            noAnswer: T,
            timeout: Duration,
            onResult: (T) -> Unit,
            lateShare: Double = 0.0,
            action: ((T) -> Unit) -> Unit,
        ) {
            var isDone = false

            fun finish(result: T) {
                if (isDone || !isAlive) return
                isDone = true
                onResult(result)
            }
            val isDelayed = (hasOrderFaults() && sim.chance(0.08)) || (lateShare > 0 && sim.chance(lateShare))
            val isAnswerLost = hasOrderFaults() && sim.chance(0.05)
            val delay = if (isDelayed) (2000 + sim.random.nextInt(8000)).milliseconds else sim.messageDelay()
            val life = this@SimAgent.target.life
            sim.after(delay) {
                // A call that a target has received and carries out late ends with the life of the target.
                if (isDelayed && life != this@SimAgent.target.life) return@after
                val respond = { result: T -> sim.after(sim.messageDelay()) { if (!isDelayed && !isAnswerLost) finish(result) } }
                if (expected != target.id) respond(otherTarget) else action(respond)
            }
            sim.after(timeout) { finish(noAnswer) }
        }
    }

    private inner class Outputs : RunOutputs {
        override fun report(
            link: LinkId,
            report: TaskReport,
        ) {
            val simLink = links[link] ?: return
            simLink.sendToEntry { simLink.entry.scheduler.report(link, report) }
        }

        override fun reportCancelled(
            job: JobId,
            from: LinkId,
        ) = links.forEach { (id, link) -> if (id != from) link.sendToEntry { link.entry.scheduler.cancel(job) } }

        override fun capacityChanged() = Unit

        override fun onDecision(decision: JobDecision) = Unit
    }

    companion object {
        const val TASK_MILLI_CPU = 3000
        val ORDER_TIMEOUT = 120.milliseconds
    }
}

/** A caller with one job. It may lose its connection, and then submits the job again to a random entry. */
internal class SimCaller(
    private val sim: Simulation,
    private val id: JobId,
    private val entries: () -> List<SimEntry>,
    private val targets: List<SimTarget>,
    private val runMillis: IntRange = 40..339,
    private val timeout: Duration = 1500.milliseconds,
) {
    private var isAnswered = false
    private var attempts = 0
    var answer: JobAnswer? = null
        private set

    fun send() {
        attempts++
        val entry = entries().randomOrNull(sim.random) ?: return
        val work = runMillis.random(sim.random)
        val step = StepRequest(1 + sim.random.nextInt(4), SimAgent.TASK_MILLI_CPU, 10, work.milliseconds)
        val request = JobRequest(id, QUEUE, "$work", listOf(step), timeout = timeout)
        var isConnected = true
        lateinit var caller: Caller
        caller =
            Caller { result ->
                if (!isConnected || !entry.isAlive) return@Caller
                isAnswered = true
                answer = result
                if (result is JobAnswer.NotRun) checkThatNothingRuns()
            }
        sim.after(sim.messageDelay()) { if (entry.isAlive) entry.scheduler.submit(request, caller) }
        sim.every(20.milliseconds, { isConnected && !isAnswered }) {
            val isInterrupted = !entry.isAlive || sim.chance(0.002)
            if (!isInterrupted) return@every
            isConnected = false
            sim.after(sim.messageDelay()) { if (entry.isAlive) entry.scheduler.callerLeft(id, caller) }
            sim.after(RESEND_DELAY) { if (!isAnswered) send() }
        }
    }

    /**
     * Checks that no task of a job that was refused as not run is running or starts, and that none has started if no earlier attempt to submit
     * the job was left without an answer.
     */
    private fun checkThatNothingRuns() {
        if (attempts == 1 &&
            targets.any { id in it.startedJobs }
        ) {
            sim.recordViolation("job $id was refused as not run after it had started")
        }
        val until = sim.monotonic() + 12.seconds
        sim.every(5.milliseconds, { sim.monotonic() < until }) {
            if (targets.any { target ->
                    target.running.keys.any { it.job == id }
                }
            ) {
                sim.recordViolation("job $id runs after it was refused as not run")
            }
        }
    }

    private companion object {
        val RESEND_DELAY = 1300.milliseconds
    }
}
