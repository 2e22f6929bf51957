package io.bluebellramp.jobs.history

import io.bluebellramp.core.JobId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.jobs.Caller
import io.bluebellramp.jobs.JobAnswer
import io.bluebellramp.jobs.JobDecision
import io.bluebellramp.jobs.JobDesk
import io.bluebellramp.jobs.JobOutputs
import io.bluebellramp.jobs.JobRequest
import io.bluebellramp.jobs.LeaseResult
import io.bluebellramp.jobs.LinkId
import io.bluebellramp.jobs.QUEUE
import io.bluebellramp.jobs.RunDesk
import io.bluebellramp.jobs.RunKey
import io.bluebellramp.jobs.RunOutputs
import io.bluebellramp.jobs.SERVICE
import io.bluebellramp.jobs.StartOrder
import io.bluebellramp.jobs.StartRefusal
import io.bluebellramp.jobs.StartResult
import io.bluebellramp.jobs.StepRequest
import io.bluebellramp.jobs.TargetNews
import io.bluebellramp.jobs.TargetPort
import io.bluebellramp.jobs.node.LinkTiming
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A connection between an entry and an agent, and what is cut on it. */
internal class SimLink(
    private val world: World,
    val id: LinkId,
    val entry: SimEntry,
    val agent: SimAgent,
) {
    private val wayToAgent = Way()
    private val wayToEntry = Way()

    /** Cuts or heals the ways. What was sent on a cut way arrives once it is healed, as on a connection that is not reset. */
    fun cut(
        toAgent: Boolean,
        toEntry: Boolean,
    ) {
        wayToAgent.set(toAgent)
        wayToEntry.set(toEntry)
    }

    private class Way {
        private var isCut = false
        private val held = ArrayList<() -> Unit>()

        fun set(cut: Boolean) {
            isCut = cut
            if (cut) return
            val late = held.toList()
            held.clear()
            late.forEach { it() }
        }

        fun arrive(action: () -> Unit) {
            if (isCut) held += action else action()
        }
    }

    private var lastToAgent = Duration.ZERO
    private var lastToEntry = Duration.ZERO
    private var entryHeardAt = world.monotonic()
    private var agentHeardAt = world.monotonic()
    private var isEntryOpen = true
    private var isAgentOpen = true
    private var received = 0L
    val isOver get() = !isEntryOpen && !isAgentOpen

    fun toAgent(action: () -> Unit) {
        lastToAgent = maxOf(lastToAgent, world.monotonic() + world.hop())
        world.after(lastToAgent - world.monotonic()) {
            wayToAgent.arrive {
                if (!isAgentOpen || !agent.isAlive) return@arrive
                agentHeardAt = world.monotonic()
                action()
            }
        }
    }

    fun toEntry(action: () -> Unit) {
        lastToEntry = maxOf(lastToEntry, world.monotonic() + world.hop())
        world.after(lastToEntry - world.monotonic()) {
            wayToEntry.arrive {
                if (!isEntryOpen || !entry.isAlive) return@arrive
                entryHeardAt = world.monotonic()
                action()
            }
        }
    }

    fun noteReceived(count: Int) {
        received += count
    }

    fun beat() {
        if (isAgentOpen) {
            val room = agent.desk.room().copy(received = received)
            toEntry { entry.desk.room(id, room) }
        }
        if (isEntryOpen) toAgent { }
        val now = world.monotonic()
        if (isEntryOpen && now - entryHeardAt > LinkTiming.SILENCE) closeAtEntry()
        if (isAgentOpen && now - agentHeardAt > LinkTiming.SILENCE) closeAtAgent()
    }

    /** A process has died or the connection was reset: both ends that live see it. */
    fun reset() {
        world.after(world.hop()) { closeAtEntry() }
        world.after(world.hop()) { closeAtAgent() }
    }

    private fun closeAtEntry() {
        if (!isEntryOpen) return
        isEntryOpen = false
        toAgent { closeAtAgent() }
        if (entry.isAlive) entry.desk.linkDown(id, entryHeardAt)
    }

    private fun closeAtAgent() {
        if (!isAgentOpen) return
        isAgentOpen = false
        if (agent.isAlive) agent.desk.linkDown(id)
    }
}

internal class SimEntry(
    private val world: World,
) {
    val links = HashMap<LinkId, SimLink>()
    var isAlive = true
    val desk = JobDesk(world, Outputs(), LinkTiming.LOST_RUN_LIFE, world.random)

    init {
        world.every(LinkTiming.TICK, { isAlive }) { desk.tick() }
    }

    private inner class Outputs : JobOutputs {
        override fun dispatch(
            link: LinkId,
            dispatch: StepDispatch,
        ) {
            val to = links[link] ?: return
            to.toAgent {
                to.noteReceived(dispatch.tasks.size)
                to.agent.desk.dispatch(link, dispatch)
            }
        }

        override fun stop(
            link: LinkId,
            job: JobId,
        ) {
            val to = links[link] ?: return
            to.toAgent { to.agent.desk.stopJob(link, job) }
        }

        override fun decided(decision: JobDecision) = Unit
    }
}

/** One life of an agent. Orders reach the target over a path that may lose answers or hold orders up for seconds. */
internal class SimAgent(
    private val world: World,
    private val target: SimTarget,
    private val troubled: () -> Boolean,
    fence: Long,
) {
    val links = HashMap<LinkId, SimLink>()
    var isAlive = true
    val desk = RunDesk(world, Port(), Outputs(), ZoneId("z"), LinkTiming.LEASE, fence)

    init {
        world.every(LinkTiming.TICK, { isAlive }) { desk.tick() }
        world.every(300.milliseconds, { isAlive }) { hear() }
        hear()
    }

    fun hear() {
        val news = TargetNews(target.id, target.life, target.nextSequence(), SERVICE, false, SimTarget.MILLI_CPU, 1000, "10.0.0.1:1")
        world.after(world.hop()) { if (isAlive) desk.targetNews(news) }
    }

    private inner class Port : TargetPort {
        override fun start(
            target: TargetId,
            order: StartOrder,
            onResult: (StartResult) -> Unit,
        ) = call(target, StartResult.Refused(StartRefusal.OTHER_TARGET), StartResult.NoAnswer, ORDER_TIMEOUT, onResult) { answer ->
            val runTime = order.spec.toLong().milliseconds
            answer(this@SimAgent.target.start(order, milliCpu = MILLI_CPU_EACH, runTime = runTime))
        }

        override fun stop(
            target: TargetId,
            run: RunKey,
            fence: Long,
            onResult: (Boolean) -> Unit,
        ) = call(target, false, false, ORDER_TIMEOUT, onResult) { answer ->
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
            action: ((T) -> Unit) -> Unit,
        ) {
            var isDone = false

            fun finish(result: T) {
                if (isDone || !isAlive) return
                isDone = true
                onResult(result)
            }
            val isHeldUp = troubled() && world.chance(0.08)
            val isAnswerLost = troubled() && world.chance(0.05)
            val delay = if (isHeldUp) (2000 + world.random.nextInt(8000)).milliseconds else world.hop()
            world.after(delay) {
                val respond = { result: T -> world.after(world.hop()) { if (!isHeldUp && !isAnswerLost) finish(result) } }
                if (expected != target.id) respond(otherTarget) else action(respond)
            }
            world.after(timeout) { finish(noAnswer) }
        }
    }

    private inner class Outputs : RunOutputs {
        override fun report(
            link: LinkId,
            report: TaskReport,
        ) {
            val to = links[link] ?: return
            to.toEntry { to.entry.desk.report(link, report) }
        }

        override fun roomChanged() = Unit

        override fun decided(decision: JobDecision) = Unit
    }

    companion object {
        const val MILLI_CPU_EACH = 3000
        val ORDER_TIMEOUT = 120.milliseconds
    }
}

/** A caller with one job: it sends again after a lost answer, to another entry, and may leave. */
internal class SimCaller(
    private val world: World,
    private val id: JobId,
    private val entries: () -> List<SimEntry>,
    private val targets: List<SimTarget>,
) {
    private var isOver = false
    var answer: JobAnswer? = null
        private set

    fun send() {
        val entry = entries().randomOrNull(world.random) ?: return
        val run = 40 + world.random.nextInt(300)
        val step = StepRequest(1 + world.random.nextInt(4), SimAgent.MILLI_CPU_EACH, 10, run.milliseconds)
        val request = JobRequest(id, QUEUE, "$run", listOf(step), patience = 1500.milliseconds)
        var isConnected = true
        lateinit var caller: Caller
        caller =
            Caller { result ->
                if (!isConnected || !entry.isAlive) return@Caller
                isOver = true
                answer = result
                if (result is JobAnswer.NotRun) watchForStarts()
            }
        world.after(world.hop()) { if (entry.isAlive) entry.desk.submit(request, caller) }
        world.every(20.milliseconds, { isConnected && !isOver }) {
            val breaks = !entry.isAlive || world.chance(0.002)
            if (!breaks) return@every
            isConnected = false
            world.after(world.hop()) { if (entry.isAlive) entry.desk.callerLeft(id, caller) }
            world.after(RESEND) { if (!isOver) send() }
        }
    }

    /** Nothing of a job that was refused as not run may run or start. */
    private fun watchForStarts() {
        val until = world.monotonic() + 12.seconds
        world.every(5.milliseconds, { world.monotonic() < until }) {
            if (targets.any { target ->
                    target.running.keys.any { it.job == id }
                }
            ) {
                world.violated("job $id runs after it was refused as not run")
            }
        }
    }

    private companion object {
        val RESEND = 1300.milliseconds
    }
}
