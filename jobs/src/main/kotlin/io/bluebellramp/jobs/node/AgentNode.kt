package io.bluebellramp.jobs.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.WireJson
import io.bluebellramp.jobs.JobDecision
import io.bluebellramp.jobs.LinkId
import io.bluebellramp.jobs.RunManager
import io.bluebellramp.jobs.RunOutputs
import io.bluebellramp.jobs.TargetDescription
import io.bluebellramp.jobs.TargetPort
import io.bluebellramp.messages.DispatchFrame
import io.bluebellramp.messages.NodeSettings
import io.bluebellramp.messages.ProcessHello
import io.bluebellramp.messages.ProcessRole
import io.bluebellramp.messages.ReportFrame
import io.bluebellramp.messages.RoomReport
import io.bluebellramp.messages.SharedState
import io.bluebellramp.messages.TaskReport
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import io.bluebellramp.transport.ControlLinks
import io.bluebellramp.transport.EventLoop
import io.bluebellramp.transport.FrameDialer
import io.bluebellramp.transport.FrameLink
import io.bluebellramp.transport.LinkListener
import io.bluebellramp.transport.LinkPorts
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An agent for best-effort jobs. It connects to every entry that control lists. Must be used on the event loop only. */
class AgentNode(
    private val settings: NodeSettings,
    private val loop: EventLoop,
    private val clock: Clock,
    target: TargetPort,
) {
    private val hello =
        ProcessHello(
            settings.node,
            ProcessRole.AGENT,
            IncarnationId.create(),
            settings.zone,
            Address("${settings.host}:${settings.firstPort}"),
        )
    private val encodedHello = WireJson.encodeToString(ReportFrame(hello = hello))
    private val control = ControlLinks(settings, loop, clock, hello, ::applyState)
    private val entries = HashMap<Address, Entry>()
    private val links = HashMap<LinkId, Entry>()
    private val lastListedAt = HashMap<Address, Duration>()
    private val pauseDetector = PauseDetector(clock)
    private val lease = minOf(LinkTiming.RUN_LEASE, settings.longestLeaseMillis.milliseconds)
    private val runManager = RunManager(clock, target, Outputs(), settings.zone, lease, initialFence())
    private var lastLinkNumber = 0L
    private var isFlushScheduled = false
    private var lastReportAt = Duration.ZERO
    private var lastHeartbeatAt = Duration.ZERO

    /** Number of runs that are not over. */
    val openRuns: Int get() = runManager.openRuns

    /** Number of connected entries. */
    val connectedEntries: Int get() = links.size

    /** Starts to connect to control and to the entries. */
    fun start() {
        control.start()
        settings.seeds.map { LinkPorts.entry(settings, it.host) }.forEach { lastListedAt[it] = clock.monotonic() }
        loop.every(LinkTiming.TICK) { tick() }
    }

    /** Processes an announcement of the target. Returns false if it is older than the last one. */
    fun targetAnnounced(description: TargetDescription): Boolean = runManager.targetAnnounced(description)

    /** Records that the target [id] has left for good. */
    fun targetLeft(id: TargetId) = runManager.targetLeft(id)

    /** Accepts no new tasks from now on. */
    fun drain() = runManager.drain()

    /** A later agent of the same VM has a greater fence. If the wall clock stepped back, the target refuses the fence and it is raised. */
    private fun initialFence() = clock.wall().epochSecond - FENCE_EPOCH_SECONDS

    /** Uses [seeds] to find control from now on. */
    fun useSeeds(seeds: List<Address>) = control.useSeeds(seeds)

    private fun applyState(state: SharedState) = runManager.setZonesOut(state.zonesOut.toSet())

    private fun tick() {
        val pause = pauseDetector.check()
        if (pause != null) {
            // The entries may have given this agent up during the pause, so waiting tasks must not start.
            logDecision(Decision(kind = "paused", reason = "the process was paused for $pause; closing all links to entries"))
            entries.values.forEach { it.abandon() }
        }
        val now = clock.monotonic()
        updateEntries(now)
        entries.values.forEach { it.dialer.closeIfSilent(now) }
        runManager.tick()
        if (now - lastHeartbeatAt < LinkTiming.HEARTBEAT_PERIOD) return
        lastHeartbeatAt = now
        sendHeartbeats(now)
    }

    private fun updateEntries(now: Duration) {
        control.entries.forEach { lastListedAt[it.address] = now }
        (lastListedAt.keys - entries.keys).forEach { address -> entries[address] = Entry(address).also { it.dialer.start() } }
        val expired =
            lastListedAt
                .filter { (address, at) ->
                    now - at > ENTRY_EXPIRY && entries[address]?.dialer?.link == null
                }.keys
                .toList()
        expired.forEach {
            lastListedAt.remove(it)
            entries.remove(it)?.dialer?.stop()
        }
    }

    private fun scheduleFlush() {
        if (isFlushScheduled) return
        isFlushScheduled = true
        loop.execute(::flush)
    }

    /** Sends the outcomes at once, with a capacity report. Without outcomes, sends a changed report if the last one is old enough. */
    private fun flush() {
        isFlushScheduled = false
        val now = clock.monotonic()
        val capacity = runManager.capacityReport()
        val isReportDue = now - lastReportAt >= LinkTiming.MIN_REPORT_INTERVAL
        if (isReportDue) lastReportAt = now
        for (entry in links.values) entry.flush(capacity, isReportDue)
    }

    private fun sendHeartbeats(now: Duration) {
        lastReportAt = now
        val capacity = runManager.capacityReport()
        links.values.forEach { it.flush(capacity, isReportDue = true, isHeartbeat = true) }
    }

    private inner class Entry(
        address: Address,
    ) : LinkListener {
        val dialer = FrameDialer(loop, clock, address, LinkTiming.LINK_TIMEOUT, this)
        private var id: LinkId? = null
        private var received = 0L
        private val outcomes = ArrayList<TaskReport>()
        private var lastReport: RoomReport? = null

        fun add(report: TaskReport) {
            outcomes += report
        }

        fun flush(
            capacity: RoomReport,
            isReportDue: Boolean,
            isHeartbeat: Boolean = false,
        ) {
            val report = capacity.copy(received = received)
            val mustSend = outcomes.isNotEmpty() || isHeartbeat || (isReportDue && report != lastReport)
            if (!mustSend) return
            lastReport = report
            val frame = ReportFrame(room = report, outcomes = outcomes.toList())
            outcomes.clear()
            dialer.link?.send(WireJson.encodeToString(frame))
        }

        /** Closes the connection and stops its tasks at once. */
        fun abandon() {
            disconnect()
            dialer.link?.close()
        }

        override fun onOpen(link: FrameLink) {
            val next = LinkId(++lastLinkNumber)
            id = next
            received = 0
            lastReport = null
            outcomes.clear()
            links[next] = this
            link.send(encodedHello)
            flush(runManager.capacityReport(), isReportDue = true)
            logDecision(Decision(kind = "entry_reached", reason = "link $next to ${dialer.address}"))
        }

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            val owner = id ?: return
            if (text == EMPTY_FRAME) return
            val frame = WireJson.decodeFromString<DispatchFrame>(text)
            frame.stops.forEach { runManager.stopJob(owner, it) }
            frame.cancels.forEach { runManager.cancel(it) }
            frame.dispatches.forEach {
                received += it.tasks.size
                runManager.dispatch(owner, it)
            }
        }

        override fun onClosed(link: FrameLink) {
            logDecision(
                Decision(
                    kind = "entry_lost",
                    reason = "link to ${dialer.address} closed; last frame received ${clock.monotonic() - link.lastReceivedAt} ago",
                ),
            )
            disconnect()
        }

        private fun disconnect() {
            val lost = id ?: return
            id = null
            links.remove(lost)
            runManager.linkDown(lost)
        }
    }

    private inner class Outputs : RunOutputs {
        override fun report(
            link: LinkId,
            report: TaskReport,
        ) {
            links[link]?.add(report)
            scheduleFlush()
        }

        override fun capacityChanged() = scheduleFlush()

        override fun onDecision(decision: JobDecision) = decision.log()
    }

    private companion object {
        /** Time for which an entry that control no longer lists is still dialled. Longer than a power loss of the core lasts. */
        val ENTRY_EXPIRY = 60.seconds

        /** Start of 2020 in seconds since 1970; keeps fences small. */
        const val FENCE_EPOCH_SECONDS = 1_577_836_800L
        const val EMPTY_FRAME = "{}"
    }
}
