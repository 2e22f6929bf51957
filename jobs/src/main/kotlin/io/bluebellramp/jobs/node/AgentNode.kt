package io.bluebellramp.jobs.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.WireJson
import io.bluebellramp.jobs.JobDecision
import io.bluebellramp.jobs.LinkId
import io.bluebellramp.jobs.RunDesk
import io.bluebellramp.jobs.RunOutputs
import io.bluebellramp.jobs.TargetNews
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

/** An agent for best-effort jobs: it dials every entry that control names. Use it on the event loop only. */
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
            IncarnationId.next(),
            settings.zone,
            Address("${settings.host}:${settings.firstPort}"),
        )
    private val helloText = WireJson.encodeToString(ReportFrame(hello = hello))
    private val control = ControlLinks(settings, loop, clock, hello, ::take)
    private val entries = HashMap<Address, Entry>()
    private val links = HashMap<LinkId, Entry>()
    private val namedAt = HashMap<Address, Duration>()
    private val pauses = PauseDetector(clock)
    private val lease = minOf(LinkTiming.LEASE, settings.longestLeaseMillis.milliseconds)
    private val desk = RunDesk(clock, target, Outputs(), settings.zone, lease, firstFence())
    private var lastLink = 0L
    private var isFlushPlanned = false
    private var roomSentAt = Duration.ZERO
    private var beatAt = Duration.ZERO

    /** Runs that are not over. */
    val openRuns: Int get() = desk.openRuns

    /** Entries that can be reached. */
    val reachedEntries: Int get() = links.size

    /** Starts to find control and the entries. */
    fun start() {
        control.start()
        settings.seeds.map { LinkPorts.entry(settings, it.host) }.forEach { namedAt[it] = clock.monotonic() }
        loop.every(LinkTiming.TICK) { tick() }
    }

    /** The target told about itself. Returns false if that is older than what is known. */
    fun targetNews(news: TargetNews): Boolean = desk.targetNews(news)

    /** The target [id] leaves for good. */
    fun targetLeft(id: TargetId) = desk.targetLeft(id)

    /** Takes nothing new from now on. */
    fun drain() = desk.drain()

    /** A later agent of the same VM has a greater fence, unless the time of day stepped back; then the target tells. */
    private fun firstFence() = clock.wall().epochSecond - FENCE_EPOCH

    /** Looks for control at [seeds] from now on. */
    fun useSeeds(seeds: List<Address>) = control.useSeeds(seeds)

    private fun take(state: SharedState) = desk.setZonesOut(state.zonesOut.toSet())

    private fun tick() {
        val pause = pauses.check()
        if (pause != null) {
            // The entries have given this agent up meanwhile; nothing that waits may start.
            logDecision(Decision(kind = "paused", reason = "stood still for $pause; all links to entries are closed"))
            entries.values.forEach { it.lose() }
        }
        val now = clock.monotonic()
        findEntries(now)
        entries.values.forEach { it.dialer.check(now) }
        desk.tick()
        if (now - beatAt < LinkTiming.BEAT_PERIOD) return
        beatAt = now
        sendRoom(now)
    }

    private fun findEntries(now: Duration) {
        control.entries.forEach { namedAt[it.address] = now }
        (namedAt.keys - entries.keys).forEach { address -> entries[address] = Entry(address).also { it.dialer.start() } }
        val forgotten = namedAt.filter { (address, at) -> now - at > FORGET_AFTER && entries[address]?.dialer?.link == null }.keys.toList()
        forgotten.forEach {
            namedAt.remove(it)
            entries.remove(it)?.dialer?.stop()
        }
    }

    private fun planFlush() {
        if (isFlushPlanned) return
        isFlushPlanned = true
        loop.execute(::flush)
    }

    /** Sends outcomes at once; the room goes with them, or alone if the last report is old enough. */
    private fun flush() {
        isFlushPlanned = false
        val now = clock.monotonic()
        val room = desk.room()
        val isRoomDue = now - roomSentAt >= LinkTiming.ROOM_PERIOD
        if (isRoomDue) roomSentAt = now
        for (entry in links.values) entry.flush(room, isRoomDue)
    }

    private fun sendRoom(now: Duration) {
        roomSentAt = now
        val room = desk.room()
        links.values.forEach { it.flush(room, isRoomDue = true, isBeat = true) }
    }

    private inner class Entry(
        address: Address,
    ) : LinkListener {
        val dialer = FrameDialer(loop, clock, address, LinkTiming.SILENCE, this)
        private var id: LinkId? = null
        private var received = 0L
        private val outcomes = ArrayList<TaskReport>()
        private var lastRoom: RoomReport? = null

        fun add(report: TaskReport) {
            outcomes += report
        }

        fun flush(
            room: RoomReport,
            isRoomDue: Boolean,
            isBeat: Boolean = false,
        ) {
            val own = room.copy(received = received)
            val tellsRoom = outcomes.isNotEmpty() || isBeat || (isRoomDue && own != lastRoom)
            if (!tellsRoom) return
            lastRoom = own
            val frame = ReportFrame(room = own, outcomes = outcomes.toList())
            outcomes.clear()
            dialer.link?.send(WireJson.encodeToString(frame))
        }

        /** Gives the connection up and ends its tasks at once. */
        fun lose() {
            drop()
            dialer.link?.close()
        }

        override fun onOpen(link: FrameLink) {
            val next = LinkId(++lastLink)
            id = next
            received = 0
            lastRoom = null
            outcomes.clear()
            links[next] = this
            link.send(helloText)
            flush(desk.room(), isRoomDue = true)
            logDecision(Decision(kind = "entry_reached", reason = "link $next to ${dialer.address}"))
        }

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            val owner = id ?: return
            if (text == EMPTY_FRAME) return
            val frame = WireJson.decodeFromString<DispatchFrame>(text)
            frame.stops.forEach { desk.stopJob(owner, it) }
            frame.cancels.forEach { desk.cancel(it) }
            frame.dispatches.forEach {
                received += it.tasks.size
                desk.dispatch(owner, it)
            }
        }

        override fun onClosed(link: FrameLink) {
            logDecision(Decision(kind = "entry_lost", reason = "${dialer.address}, silent for ${clock.monotonic() - link.heardAt}"))
            drop()
        }

        private fun drop() {
            val lost = id ?: return
            id = null
            links.remove(lost)
            desk.linkDown(lost)
        }
    }

    private inner class Outputs : RunOutputs {
        override fun report(
            link: LinkId,
            report: TaskReport,
        ) {
            links[link]?.add(report)
            planFlush()
        }

        override fun roomChanged() = planFlush()

        override fun decided(decision: JobDecision) = decision.log()
    }

    private companion object {
        /** An entry that nobody names any more is dialled for this long; longer than a loss of power of the core lasts. */
        val FORGET_AFTER = 60.seconds

        /** Seconds from 1970 to 2020, so that fences stay small. */
        const val FENCE_EPOCH = 1_577_836_800L
        const val EMPTY_FRAME = "{}"
    }
}
