package io.bluebellramp.jobs.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.JobId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.WireJson
import io.bluebellramp.jobs.EntryRoster
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
import io.bluebellramp.messages.TaskEvent
import io.bluebellramp.messages.TaskReport
import io.bluebellramp.placement.EntryLocation
import io.bluebellramp.placement.EntrySubset
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

/** An agent for best-effort jobs. It connects to a part of the entries that control lists. Must be used on the event loop only. */
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
    private val roster = EntryRoster(EntrySubset(settings.node, settings.zone))
    private var rosterUpdatedAt: Duration? = null
    private var rosterVersion = 0L
    private val pauseDetector = PauseDetector(clock)
    private val longestLease = settings.longestLeaseMillis.milliseconds
    private val lease = minOf(LinkTiming.RUN_LEASE, longestLease)
    private val runManager =
        RunManager(clock, target, Outputs(), settings.zone, lease, initialFence(), longestLease, LinkTiming.LEASE_AFTER_CONTACT)
    private var lastLinkNumber = 0L
    private var isFlushScheduled = false
    private var lastReportAt = Duration.ZERO
    private var tickNumber = 0L
    private var isTickSlow = false
    private var busyAt = clock.monotonic()

    /** Number of runs that are not over. */
    val openRuns: Int get() = runManager.openRuns

    /** Number of connected entries. */
    val connectedEntries: Int get() = links.size

    /** Starts to connect to control and to the entries. */
    fun start() {
        control.start()
        roster.addSeeds(settings.seeds.map { LinkPorts.entry(settings, it.host) }, clock.monotonic())
        scheduleTick()
    }

    /** The period of the ticks is longer while the agent is idle, since a wake-up costs more than all that is done in it. */
    private fun scheduleTick() {
        val now = clock.monotonic()
        if (!runManager.isIdle) busyAt = now
        isTickSlow = now - busyAt >= IDLE_AFTER
        val number = ++tickNumber
        loop.after(if (isTickSlow) LinkTiming.IDLE_TICK else LinkTiming.TICK) {
            if (number == tickNumber) tickAndSchedule()
        }
    }

    private fun tickAndSchedule() =
        try {
            tick()
        } finally {
            scheduleTick()
        }

    /** Returns to the short period at once if the agent is not idle any more. */
    private fun updateTickPeriod() {
        if (isTickSlow && !runManager.isIdle) scheduleTick()
    }

    /** Processes an announcement of the target. Returns false if it is older than the last one. */
    fun targetAnnounced(description: TargetDescription): Boolean {
        val isNew = runManager.targetAnnounced(description)
        if (isNew) control.announceService(description.service)
        return isNew
    }

    /** Records that the target [id] leaves for good; ignored if [life] is given and is not its current life. */
    fun targetLeft(
        id: TargetId,
        life: Long?,
    ) = runManager.targetLeft(id, life)

    /** Accepts no new tasks from now on. */
    fun drain() = runManager.drain()

    /** A later agent of the same VM has a greater fence. If the wall clock stepped back, the target refuses the fence and it is raised. */
    private fun initialFence() = clock.wall().epochSecond - FENCE_EPOCH_SECONDS

    /** Uses [seeds] to find control from now on. */
    fun useSeeds(seeds: List<Address>) = control.useSeeds(seeds)

    private fun applyState(state: SharedState) = runManager.setZonesOut(state.zonesOut.toSet())

    private fun tick() {
        abandonLinksAfterPause()
        val now = clock.monotonic()
        updateEntries(now)
        entries.values.forEach { it.dialer.closeIfSilent(now) }
        runManager.tick()
        sendHeartbeats(now)
    }

    /**
     * Closes all links to entries if the process was paused, because the entries may have given this agent up and sent its tasks elsewhere. Returns true
     * if it was. Called before each frame is processed, since frames that arrived during the pause may be read before the next tick.
     */
    private fun abandonLinksAfterPause(): Boolean {
        val pause = pauseDetector.check() ?: return false
        logDecision(Decision(kind = "paused", reason = "the process was paused for $pause; closing all links to entries"))
        entries.values.forEach { it.abandon() }
        return true
    }

    /** Opens and closes links according to the directories of control. */
    private fun updateEntries(now: Duration) {
        val isDue = rosterUpdatedAt?.let { now - it >= ROSTER_UPDATE_PERIOD } ?: true
        if (!isDue && rosterVersion == control.directoryVersion) return
        rosterUpdatedAt = now
        rosterVersion = control.directoryVersion
        val listed = control.entries.mapTo(LinkedHashSet()) { EntryLocation(it.address, it.zone) }
        val connected = entries.filterValues { it.dialer.link != null }.keys.toSet()
        val plan = roster.update(listed, connected, runManager.service?.let { control.agentsOf(it) } ?: 0, now)
        (plan.wanted - entries.keys).forEach { address -> entries[address] = Entry(address).also { it.dialer.start() } }
        for ((address, entry) in entries.entries.toList()) {
            entry.setRetiring(address in plan.surplus, now)
            val mayClose = address !in connected || entry.isRetired(now)
            if (address in plan.wanted || !mayClose) continue
            entries.remove(address)
            entry.dialer.stop()
        }
    }

    private fun scheduleFlush() {
        if (isFlushScheduled) return
        isFlushScheduled = true
        loop.execute(::flush)
    }

    /** Sends urgent outcomes at once, with a capacity report. All else waits until the last report is old enough. */
    private fun flush() {
        isFlushScheduled = false
        val now = clock.monotonic()
        val isReportDue = isReportDue(now)
        val receivers = if (isReportDue) links.values else links.values.filter { it.hasUrgentOutcomes }
        if (receivers.isEmpty()) return
        if (isReportDue) lastReportAt = now
        val capacity = runManager.capacityReport()
        receivers.forEach { it.flush(capacity) }
    }

    private fun isReportDue(now: Duration) = now - lastReportAt >= LinkTiming.MIN_REPORT_INTERVAL

    private fun sendHeartbeats(now: Duration) {
        val receivers = links.values.filter { it.isHeartbeatDue(now) }
        if (receivers.isEmpty()) return
        val capacity = runManager.capacityReport()
        receivers.forEach { it.flush(capacity, isHeartbeat = true) }
    }

    private inner class Entry(
        address: Address,
    ) : LinkListener {
        val dialer = FrameDialer(loop, clock, address, LinkTiming.LINK_TIMEOUT, this)
        private var id: LinkId? = null
        private var received = 0L
        private var sentFrames = SentFrames()
        private val outcomes = ArrayList<TaskReport>()
        private val cancels = LinkedHashSet<JobId>()
        private var lastReport: RoomReport? = null
        private var retiringSince: Duration? = null

        /** True if the entry waits for an outcome. A start is not urgent: the end of its task or the next report follows shortly. */
        var hasUrgentOutcomes = false
            private set

        /** While the link is retiring, the entry is told to send no new tasks. */
        fun setRetiring(
            isRetiring: Boolean,
            now: Duration,
        ) {
            if (isRetiring == (retiringSince != null)) return
            retiringSince = if (isRetiring) now else null
            logDecision(Decision(kind = if (isRetiring) "entry_retiring" else "entry_kept", reason = "link $id to ${dialer.address}"))
            flush(runManager.capacityReport())
        }

        /** Returns whether the entry knows that it must send no tasks, and none of its tasks is left. */
        fun isRetired(now: Duration): Boolean {
            val since = retiringSince ?: return false
            return now - since >= RETIREMENT_DELAY && id?.let { runManager.hasRunsOf(it) } != true
        }

        /** While ticks are rare, a frame is due a little early, since the next tick would be too late for it. */
        fun isHeartbeatDue(now: Duration): Boolean {
            val margin = if (isTickSlow) LinkTiming.IDLE_TICK / 2 else Duration.ZERO
            return dialer.link?.let { now - it.lastSentAt >= LinkTiming.HEARTBEAT_PERIOD - margin } == true
        }

        fun add(report: TaskReport) {
            outcomes += report
            if (report.event != TaskEvent.STARTED) hasUrgentOutcomes = true
        }

        fun addCancel(job: JobId) {
            cancels += job
            hasUrgentOutcomes = true
        }

        /** Sends the outcomes and cancels, and [capacity] if it has changed. */
        fun flush(
            capacity: RoomReport,
            isHeartbeat: Boolean = false,
        ) {
            val report = capacity.copy(received = received, accepting = capacity.accepting && retiringSince == null)
            if (outcomes.isEmpty() && cancels.isEmpty() && report == lastReport) {
                // An unchanged report is not repeated: the empty frame confirms it.
                if (isHeartbeat) send(EMPTY_FRAME)
                return
            }
            lastReport = report
            val frame = ReportFrame(room = report, outcomes = outcomes.toList(), cancels = cancels.toList())
            clearOutcomes()
            send(WireJson.encodeToString(frame))
        }

        private fun send(text: String) {
            val link = dialer.link ?: return
            sentFrames.sent(clock.monotonic())
            link.send(text)
        }

        private fun clearOutcomes() {
            outcomes.clear()
            cancels.clear()
            hasUrgentOutcomes = false
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
            sentFrames = SentFrames()
            lastReport = null
            retiringSince = null
            clearOutcomes()
            links[next] = this
            send(encodedHello)
            flush(runManager.capacityReport())
            logDecision(Decision(kind = "entry_reached", reason = "link $next to ${dialer.address}"))
        }

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            if (abandonLinksAfterPause()) return
            val owner = id ?: return
            val frame = if (text == EMPTY_FRAME) DispatchFrame() else WireJson.decodeFromString<DispatchFrame>(text)
            recordContact(owner, frame)
            frame.stops.forEach { runManager.stopJob(owner, it) }
            frame.cancels.forEach { runManager.cancel(it, owner) }
            frame.dispatches.forEach {
                received += it.tasks.size
                runManager.dispatch(owner, it)
            }
        }

        /** An entry that does not count frames may have sent [frame] just before it would have closed the link as silent. */
        private fun recordContact(
            owner: LinkId,
            frame: DispatchFrame,
        ) {
            val isCounted = frame.received > 0
            val heardAt = if (isCounted) sentFrames.received(frame.received) else clock.monotonic() - LinkTiming.LINK_TIMEOUT
            heardAt?.let { runManager.entryReached(owner, it) }
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

        override fun reportCancelled(
            job: JobId,
            from: LinkId,
        ) {
            links.forEach { (id, entry) -> if (id != from) entry.addCancel(job) }
            scheduleFlush()
        }

        /** Before a report is due nothing would be sent. The tick asks again, since the run manager advances in each of them. */
        override fun capacityChanged() {
            updateTickPeriod()
            if (isReportDue(clock.monotonic())) scheduleFlush()
        }

        override fun onDecision(decision: JobDecision) = decision.log()
    }

    private companion object {
        /** Longest time between two looks at the directories; a changed directory is used at once. */
        val ROSTER_UPDATE_PERIOD = 500.milliseconds

        /** Time without runs after which the ticks are slower. The entries have got the report of the free capacity by then. */
        val IDLE_AFTER = LinkTiming.MIN_REPORT_INTERVAL * 3

        /** Long enough that tasks sent before the entry learned of the retirement have arrived. */
        val RETIREMENT_DELAY = 1.seconds

        /** Start of 2020 in seconds since 1970; keeps fences small. */
        const val FENCE_EPOCH_SECONDS = 1_577_836_800L
        const val EMPTY_FRAME = "{}"
    }
}
