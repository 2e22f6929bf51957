package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.trial.VirtualTime
import io.bluebellramp.core.Clock
import io.bluebellramp.core.JobId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.jobs.JobDecision
import io.bluebellramp.jobs.JobOutputs
import io.bluebellramp.jobs.JobScheduler
import io.bluebellramp.jobs.LinkId
import io.bluebellramp.jobs.RunKey
import io.bluebellramp.jobs.RunManager
import io.bluebellramp.jobs.RunOutputs
import io.bluebellramp.jobs.TargetDescription
import io.bluebellramp.jobs.node.LinkTiming
import io.bluebellramp.messages.RoomReport
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskReport
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** The product's own entries and agents over modelled links and targets, in virtual time. */
internal class ModelSystem(
    private val site: SiteModel,
    private val time: VirtualTime,
    private val random: Random,
    private val end: Duration,
    private val runTimes: (RunKey) -> Duration,
) {
    private val clock =
        object : Clock {
            override fun monotonic() = START + time.now

            override fun wall(): Instant = Instant.EPOCH + monotonic().toJavaDuration()
        }
    private val agents = List(site.targets.size) { Agent(it) }

    /** The entries; a caller is sent to any of them. */
    val entries: List<JobScheduler> =
        List(site.entries) { Entry(it) }
            .onEach { entry ->
                agents.forEach { entry.connect(it) }
            }.map { it.scheduler }

    private fun hop() = site.hop * (HOP_LEAST + random.nextDouble())

    /** Which targets a trouble meets: the same for its whole time. */
    private fun meets(
        trouble: Trouble,
        target: Int,
    ): Boolean {
        val many = (trouble.share * site.targets.size).toInt().coerceAtLeast(1)
        val first = site.troubles.indexOf(trouble) * STRIDE
        return (target - first).mod(site.targets.size) < many
    }

    private inner class Entry(
        number: Int,
    ) : JobOutputs {
        val scheduler = JobScheduler(clock, this, LinkTiming.LOST_LINK_RUN_TIMEOUT, Random(random.nextInt()))
        private val links = HashMap<LinkId, Agent>()

        init {
            time.every(LinkTiming.TICK, { time.now < end }) { scheduler.tick() }
        }

        private val own = LinkId(number.toLong() + 1)

        fun connect(agent: Agent) {
            val link = LinkId(agent.number.toLong() + 1)
            links[link] = agent
            scheduler.linkUp(link, "agent-${agent.number}", ZoneId("z"))
            agent.entries[own] = Peer(link, scheduler)
        }

        override fun dispatch(
            link: LinkId,
            dispatch: StepDispatch,
        ) {
            val agent = links.getValue(link)
            if (!agent.isCut()) {
                time.after(hop()) {
                    agent.entries.getValue(own).received += dispatch.tasks.size
                    agent.runManager.dispatch(own, dispatch)
                }
            }
        }

        override fun stop(
            link: LinkId,
            job: JobId,
        ) {
            val agent = links.getValue(link)
            if (!agent.isCut()) time.after(hop()) { agent.runManager.stopJob(own, job) }
        }

        override fun onDecision(decision: JobDecision) = Unit
    }

    private class Peer(
        val link: LinkId,
        val scheduler: JobScheduler,
    ) {
        var received = 0L
        var lastReport: RoomReport? = null
        var isUp = true
    }

    private inner class Agent(
        val number: Int,
    ) : RunOutputs {
        private val troubles = site.troubles.filter { meets(it, number) }
        private val target = ModelTarget(TargetId("t-$number"), site.targets[number], time, random, troubles, runTimes)
        val entries = LinkedHashMap<LinkId, Peer>()
        val runManager = RunManager(clock, target, this, ZoneId("z"), LinkTiming.RUN_LEASE, fence = 1)
        private var life = 1L
        private var sequence = 0L
        private var heardAt = Duration.ZERO
        private var capacityChangedAt: Duration? = null

        init {
            hear()
            time.every(LinkTiming.TICK, { time.now < end }) { runManager.tick() }
            time.every(LinkTiming.HEARTBEAT_PERIOD, { time.now < end }) { tellAll(isBeat = true) }
            time.every(TARGET_BEAT, { time.now < end }) { hear() }
            troubles.filter { it.kind == Trouble.Kind.CRASHED }.forEach { trouble ->
                time.at(trouble.at) { target.crash() }
                time.at(trouble.at + trouble.lasts) {
                    life++
                    sequence = 0
                    hear()
                }
            }
            troubles.filter { it.kind == Trouble.Kind.CUT }.forEach { trouble ->
                time.at(trouble.at + LinkTiming.LINK_TIMEOUT) { entries.forEach { (own, peer) -> lose(own, peer, trouble.at) } }
                time.at(trouble.at + trouble.lasts) { entries.values.forEach { reconnect(it) } }
            }
        }

        fun isCut() = troubles.any { it.kind == Trouble.Kind.CUT && it.isOn(time.now) }

        private fun lose(
            own: LinkId,
            peer: Peer,
            at: Duration,
        ) {
            peer.isUp = false
            peer.scheduler.linkDown(peer.link, START + at)
            runManager.linkDown(own)
        }

        private fun reconnect(peer: Peer) {
            peer.isUp = true
            peer.received = 0
            peer.scheduler.linkUp(peer.link, "agent-$number", ZoneId("z"))
        }

        private fun hear() {
            if (troubles.any { it.kind == Trouble.Kind.CRASHED && it.isOn(time.now) }) return
            val kind = site.targets[number]
            runManager.targetAnnounced(
                TargetDescription(target.id, life, ++sequence, SERVICE, false, kind.milliCpu, kind.memoryMb, "10.0.0.1:1"),
            )
        }

        override fun report(
            link: LinkId,
            report: TaskReport,
        ) {
            val peer = entries.getValue(link)
            if (isCut() || !peer.isUp) return
            val capacity = runManager.capacityReport().copy(received = peer.received)
            time.after(hop()) {
                peer.scheduler.capacityReported(peer.link, capacity)
                peer.scheduler.report(peer.link, report)
            }
        }

        override fun capacityChanged() {
            if (capacityChangedAt != null) return
            capacityChangedAt = time.now
            time.after((heardAt + LinkTiming.MIN_REPORT_INTERVAL - time.now).coerceAtLeast(Duration.ZERO)) {
                capacityChangedAt = null
                tellAll(isBeat = false)
            }
        }

        private fun tellAll(isBeat: Boolean) {
            heardAt = time.now
            if (isCut()) return
            for (peer in entries.values.filter { it.isUp }) {
                val capacity = runManager.capacityReport().copy(received = peer.received)
                if (!isBeat && capacity == peer.lastReport) continue
                peer.lastReport = capacity
                time.after(hop()) { peer.scheduler.capacityReported(peer.link, capacity) }
            }
        }

        override fun onDecision(decision: JobDecision) = Unit
    }

    companion object {
        val SERVICE = ServiceId("s")

        /** The steady clock does not begin at zero. */
        private val START = 1000.seconds

        /** A hop takes between this share of the site's time and one more. */
        private const val HOP_LEAST = 0.5

        /** Troubles at the same time meet different targets. */
        private const val STRIDE = 3

        /** How often a target tells about itself. */
        private val TARGET_BEAT = 1500.milliseconds
    }
}
