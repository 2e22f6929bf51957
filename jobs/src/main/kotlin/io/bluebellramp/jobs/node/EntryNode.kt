package io.bluebellramp.jobs.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.JobId
import io.bluebellramp.core.WireJson
import io.bluebellramp.jobs.Caller
import io.bluebellramp.jobs.JobDecision
import io.bluebellramp.jobs.JobDesk
import io.bluebellramp.jobs.JobOutputs
import io.bluebellramp.jobs.JobRequest
import io.bluebellramp.jobs.LinkId
import io.bluebellramp.messages.Catalog
import io.bluebellramp.messages.DispatchFrame
import io.bluebellramp.messages.NodeSettings
import io.bluebellramp.messages.ProcessHello
import io.bluebellramp.messages.ProcessRole
import io.bluebellramp.messages.ReportFrame
import io.bluebellramp.messages.SharedState
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import io.bluebellramp.transport.ControlLinks
import io.bluebellramp.transport.EventLoop
import io.bluebellramp.transport.FrameLink
import io.bluebellramp.transport.FrameServer
import io.bluebellramp.transport.LinkListener
import io.bluebellramp.transport.LinkPorts
import kotlin.time.Duration

/**
 * An entry for best-effort jobs: agents dial it, control tells it the catalog. Use it on the event loop only.
 *
 * The last catalog stays in force while control cannot be reached.
 */
class EntryNode(
    settings: NodeSettings,
    private val loop: EventLoop,
    private val clock: Clock,
) {
    private val address = LinkPorts.entry(settings, settings.host)
    private val hello = ProcessHello(settings.node, ProcessRole.ENTRY, IncarnationId.next(), settings.zone, address)
    private val links = HashMap<LinkId, FrameLink>()
    private val linkIds = HashMap<FrameLink, LinkId>()
    private val outbox = LinkedHashMap<LinkId, PendingDispatches>()
    private val pauses = PauseDetector(clock)
    private val control = ControlLinks(settings, loop, clock, hello, ::take)
    private val desk = JobDesk(clock, Outputs(), LinkTiming.LOST_RUN_LIFE)
    private val server = FrameServer(loop, clock, address.host, address.port, AgentListener())
    private var lastLink = 0L
    private var beatAt = Duration.ZERO
    private var isStopping = false
    private var isListening = false

    /** The catalog in force, or null before the first. */
    val catalog: Catalog? get() = control.state?.catalog

    /** True while callers are served. */
    val isReady: Boolean get() = !isStopping && catalog != null && desk.openAgents > 0

    /** Jobs that are not over. */
    val openJobs: Int get() = desk.openJobs

    /** Agents that can be reached. */
    val agents: Int get() = desk.agents

    /** Starts to find control and to listen. */
    fun start() {
        control.start()
        loop.every(LinkTiming.TICK) { tick() }
    }

    /** Takes a job; [caller] gets one answer. */
    fun submit(
        request: JobRequest,
        caller: Caller,
    ) = desk.submit(request, caller)

    /** The caller of a job has gone. */
    fun callerLeft(
        id: JobId,
        caller: Caller,
    ) = desk.callerLeft(id, caller)

    /** Cancels the job with [id] wherever it runs. Returns false if this entry does not own it. */
    fun cancel(id: JobId): Boolean {
        links.keys.forEach { pending(it).cancels += id }
        return desk.cancel(id)
    }

    /** Returns how many jobs of [queue] have not started anything. */
    fun pending(queue: String): Int = desk.pending(queue)

    /** Reports not ready from now on; jobs are still taken. */
    fun drain() {
        isStopping = true
    }

    /** Ends what is left. */
    fun endAll() = desk.endAll()

    /** Looks for control at [seeds] from now on. */
    fun useSeeds(seeds: List<Address>) = control.useSeeds(seeds)

    private fun take(state: SharedState) = desk.setZonesOut(state.zonesOut.toSet())

    private fun tick() {
        val pause = pauses.check()
        if (pause != null) {
            // The agents have ended the tasks of this entry meanwhile.
            logDecision(Decision(kind = "paused", reason = "stood still for $pause; all links to agents are closed"))
            links.values.toList().forEach { it.close() }
            return
        }
        // From here on a pause is noticed; no link may be older than that.
        if (!isListening) server.start()
        isListening = true
        val now = clock.monotonic()
        links.values.filter { now - it.heardAt > LinkTiming.SILENCE }.forEach { it.close() }
        desk.tick()
        if (now - beatAt < LinkTiming.BEAT_PERIOD) return
        beatAt = now
        links.values.forEach { it.send(EMPTY_FRAME) }
    }

    private fun pending(link: LinkId): PendingDispatches {
        if (outbox.isEmpty()) loop.execute(::flush)
        return outbox.getOrPut(link) { PendingDispatches() }
    }

    /** Sends what one batch of inputs led to, one frame for each agent. */
    private fun flush() {
        val frames = outbox.toMap()
        outbox.clear()
        for ((link, pending) in frames) links[link]?.send(WireJson.encodeToString(pending.frame()))
    }

    private class PendingDispatches {
        val dispatches = ArrayList<StepDispatch>()
        val stops = LinkedHashSet<JobId>()
        val cancels = LinkedHashSet<JobId>()

        fun frame() = DispatchFrame(dispatches = dispatches, stops = stops.toList(), cancels = cancels.toList())
    }

    private inner class Outputs : JobOutputs {
        override fun dispatch(
            link: LinkId,
            dispatch: StepDispatch,
        ) {
            pending(link).dispatches += dispatch
        }

        override fun stop(
            link: LinkId,
            job: JobId,
        ) {
            pending(link).stops += job
        }

        override fun decided(decision: JobDecision) = decision.log()
    }

    private inner class AgentListener : LinkListener {
        override fun onOpen(link: FrameLink) = link.send(WireJson.encodeToString(DispatchFrame(hello = hello)))

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            if (text == EMPTY_FRAME) return
            val frame = WireJson.decodeFromString<ReportFrame>(text)
            frame.hello?.let { welcome(link, it) }
            val id = linkIds[link] ?: return
            // The room goes first: tasks that come back are placed by it.
            frame.room?.let { desk.room(id, it) }
            frame.outcomes.forEach { desk.report(id, it) }
        }

        override fun onClosed(link: FrameLink) {
            val id = linkIds.remove(link) ?: return
            links.remove(id)
            outbox.remove(id)
            desk.linkDown(id, link.heardAt)
            logDecision(Decision(kind = "agent_lost", reason = "link $id, silent for ${clock.monotonic() - link.heardAt}"))
        }

        private fun welcome(
            link: FrameLink,
            hello: ProcessHello,
        ) {
            val id = LinkId(++lastLink)
            links[id] = link
            linkIds[link] = id
            desk.linkUp(id, hello.node, hello.zone)
            logDecision(Decision(kind = "agent_reached", reason = "link $id to ${hello.node} in ${hello.zone}"))
        }
    }

    private companion object {
        const val EMPTY_FRAME = "{}"
    }
}

/** Writes the decision as one log line. */
internal fun JobDecision.log() = logDecision(Decision(kind = kind, reason = "", fields = mapOf("job" to job.value) + details))
