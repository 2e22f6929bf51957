package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.trial.VirtualTimeScheduler
import io.bluebellramp.core.Address
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
import io.bluebellramp.messages.TaskEvent
import io.bluebellramp.messages.TaskReport
import io.bluebellramp.placement.EntryLocation
import io.bluebellramp.placement.EntrySubset
import java.time.Instant
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Runs the real [JobScheduler] and [RunManager] over simulated links and targets, in virtual time. */
internal class SimulatedSystem(
    private val site: SiteModel,
    private val time: VirtualTimeScheduler,
    private val random: Random,
    private val end: Duration,
    private val layout: LinkLayout,
    private val runTimes: (RunKey) -> Duration,
) {
    private val clock =
        object : Clock {
            override fun monotonic() = MONOTONIC_START + time.now

            override fun wall(): Instant = Instant.EPOCH + monotonic().toJavaDuration()
        }
    private val agents = List(site.targets.size) { Agent(it) }

    private val entries = site.entries.mapIndexed { number, zone -> Entry(number, zone) }

    /** Messages so far. */
    var traffic = LinkTraffic()
        private set

    init {
        val locations = entries.associateBy { EntryLocation(Address("10.0.0.${it.number}:1"), it.zone) }
        for (agent in agents) {
            val subset = EntrySubset("agent-${agent.number}", agent.zone).select(locations.keys, agents.size)
            locations.filterKeys { layout == LinkLayout.ALL || it.address in subset }.values.forEach { it.connect(agent) }
        }
    }

    /** Returns the entries of [zone] to which its callers submit jobs; all entries if the zone has none. */
    fun entriesIn(zone: ZoneId): List<JobScheduler> = entries.filter { it.zone == zone }.ifEmpty { entries }.map { it.scheduler }

    private fun countReport(
        agent: Agent,
        entry: ZoneId,
    ) {
        traffic += LinkTraffic(reports = 1, betweenZones = if (agent.zone == entry) 0 else 1)
    }

    private fun drawDelay() = site.networkDelay * (MIN_DELAY_SHARE + random.nextDouble())

    /** Returns whether [disturbance] affects [target]. The affected targets stay the same while it lasts. */
    private fun affects(
        disturbance: Disturbance,
        target: Int,
    ): Boolean {
        val affectedTargets = (disturbance.share * site.targets.size).toInt().coerceAtLeast(1)
        val first = site.disturbances.indexOf(disturbance) * TARGET_STRIDE
        return (target - first).mod(site.targets.size) < affectedTargets
    }

    private inner class Entry(
        val number: Int,
        val zone: ZoneId,
    ) : JobOutputs {
        val scheduler = JobScheduler(clock, this, LinkTiming.LOST_LINK_RUN_TIMEOUT, Random(random.nextInt()))
        private val links = HashMap<LinkId, Agent>()

        init {
            time.every(LinkTiming.TICK, { time.now < end }) { scheduler.tick() }
        }

        private val entryLink = LinkId(number.toLong() + 1)

        fun connect(agent: Agent) {
            val link = LinkId(agent.number.toLong() + 1)
            links[link] = agent
            scheduler.linkUp(link, "agent-${agent.number}", agent.zone)
            agent.entries[entryLink] = Peer(link, zone, scheduler)
            traffic += LinkTraffic(links = 1)
        }

        override fun dispatch(
            link: LinkId,
            dispatch: StepDispatch,
        ) {
            val agent = links.getValue(link)
            traffic += LinkTraffic(dispatches = 1, betweenZones = if (agent.zone == zone) 0 else 1)
            if (!agent.isCut()) {
                time.after(drawDelay()) {
                    agent.entries.getValue(entryLink).received += dispatch.tasks.size
                    agent.runManager.dispatch(entryLink, dispatch)
                }
            }
        }

        override fun stop(
            link: LinkId,
            job: JobId,
        ) {
            val agent = links.getValue(link)
            if (!agent.isCut()) time.after(drawDelay()) { agent.runManager.stopJob(entryLink, job) }
        }

        override fun onDecision(decision: JobDecision) = Unit
    }

    private class Peer(
        val link: LinkId,
        val zone: ZoneId,
        val scheduler: JobScheduler,
    ) {
        var received = 0L
        var lastReport: RoomReport? = null
        val outcomes = ArrayList<TaskReport>()
        var isUp = true
    }

    private inner class Agent(
        val number: Int,
    ) : RunOutputs {
        val zone = site.targets[number].zone
        private val disturbances = site.disturbances.filter { affects(it, number) }
        private val target = SimulatedTarget(TargetId("t-$number"), site.targets[number], time, random, disturbances, runTimes)
        val entries = LinkedHashMap<LinkId, Peer>()
        val runManager = RunManager(clock, target, this, zone, LinkTiming.RUN_LEASE, fence = 1)
        private var incarnation = 1L
        private var sequence = 0L
        private var lastReportAt = Duration.ZERO
        private var capacityChangedAt: Duration? = null

        init {
            announceTarget()
            time.every(LinkTiming.TICK, { time.now < end }) { runManager.tick() }
            time.every(LinkTiming.HEARTBEAT_PERIOD, { time.now < end }) { reportCapacity(isHeartbeat = true) }
            time.every(ANNOUNCEMENT_PERIOD, { time.now < end }) { announceTarget() }
            disturbances.filter { it.kind == Disturbance.Kind.CRASHED }.forEach { disturbance ->
                time.at(disturbance.at) { target.crash() }
                time.at(disturbance.at + disturbance.duration) {
                    incarnation++
                    sequence = 0
                    announceTarget()
                }
            }
            disturbances.filter { it.kind == Disturbance.Kind.CUT }.forEach { disturbance ->
                time.at(disturbance.at + LinkTiming.LINK_TIMEOUT) {
                    entries.forEach { (entryLink, peer) ->
                        disconnect(entryLink, peer, disturbance.at)
                    }
                }
                time.at(disturbance.at + disturbance.duration) { entries.values.forEach { reconnect(it) } }
            }
        }

        fun isCut() = disturbances.any { it.kind == Disturbance.Kind.CUT && it.isActive(time.now) }

        private fun disconnect(
            entryLink: LinkId,
            peer: Peer,
            at: Duration,
        ) {
            peer.isUp = false
            peer.outcomes.clear()
            peer.scheduler.linkDown(peer.link, MONOTONIC_START + at)
            runManager.linkDown(entryLink)
        }

        private fun reconnect(peer: Peer) {
            peer.isUp = true
            peer.received = 0
            peer.scheduler.linkUp(peer.link, "agent-$number", zone)
        }

        private fun announceTarget() {
            if (disturbances.any { it.kind == Disturbance.Kind.CRASHED && it.isActive(time.now) }) return
            val kind = site.targets[number]
            runManager.targetAnnounced(
                TargetDescription(
                    target.id,
                    incarnation,
                    ++sequence,
                    SERVICE,
                    false,
                    kind.milliCpu,
                    kind.memoryMb,
                    "10.0.0.1:1",
                    kind.name,
                ),
            )
        }

        override fun report(
            link: LinkId,
            report: TaskReport,
        ) {
            val peer = entries.getValue(link)
            if (isCut() || !peer.isUp) return
            peer.outcomes += report
            // Like the real agent: a start waits for the next report.
            if (report.event != TaskEvent.STARTED) send(peer, runManager.capacityReport().copy(received = peer.received))
        }

        private fun send(
            peer: Peer,
            capacity: RoomReport,
        ) {
            val outcomes = peer.outcomes.toList()
            peer.outcomes.clear()
            countReport(this, peer.zone)
            time.after(drawDelay()) {
                peer.scheduler.capacityReported(peer.link, capacity)
                outcomes.forEach { peer.scheduler.report(peer.link, it) }
            }
        }

        override fun reportCancelled(
            job: JobId,
            from: LinkId,
        ) = Unit

        override fun capacityChanged() {
            if (capacityChangedAt != null) return
            capacityChangedAt = time.now
            time.after((lastReportAt + LinkTiming.MIN_REPORT_INTERVAL - time.now).coerceAtLeast(Duration.ZERO)) {
                capacityChangedAt = null
                reportCapacity(isHeartbeat = false)
            }
        }

        private fun reportCapacity(isHeartbeat: Boolean) {
            lastReportAt = time.now
            if (isCut()) return
            for (peer in entries.values.filter { it.isUp }) {
                val capacity = runManager.capacityReport().copy(received = peer.received)
                if (capacity == peer.lastReport && peer.outcomes.isEmpty()) {
                    if (isHeartbeat) time.after(drawDelay()) { peer.scheduler.capacityConfirmed(peer.link) }
                    continue
                }
                peer.lastReport = capacity
                send(peer, capacity)
            }
        }

        override fun onDecision(decision: JobDecision) = Unit
    }

    companion object {
        val SERVICE = ServiceId("s")

        /** Value of the monotonic clock at the start, which need not be zero. */
        private val MONOTONIC_START = 1000.seconds

        /** Minimum delay of a message as a share of the network delay of the site; the maximum is one more. */
        private const val MIN_DELAY_SHARE = 0.5

        /** Offset between the first targets of successive disturbances, so that simultaneous ones affect different targets. */
        private const val TARGET_STRIDE = 3

        /** Interval between announcements of a target. */
        private val ANNOUNCEMENT_PERIOD = 1500.milliseconds
    }
}
