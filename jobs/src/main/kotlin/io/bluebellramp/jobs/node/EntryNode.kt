package io.bluebellramp.jobs.node

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.JobId
import io.bluebellramp.core.WireJson
import io.bluebellramp.jobs.Caller
import io.bluebellramp.jobs.CallerRebalancer
import io.bluebellramp.jobs.DispatchOutbox
import io.bluebellramp.jobs.EntryLife
import io.bluebellramp.jobs.JobDecision
import io.bluebellramp.jobs.JobOutputs
import io.bluebellramp.jobs.JobRequest
import io.bluebellramp.jobs.JobScheduler
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
import io.bluebellramp.transport.EMPTY_FRAME
import io.bluebellramp.transport.EventLoop
import io.bluebellramp.transport.FrameLink
import io.bluebellramp.transport.FrameServer
import io.bluebellramp.transport.LinkListener
import io.bluebellramp.transport.LinkPorts
import kotlin.time.Duration

/**
 * An entry for best-effort jobs. Agents connect to it and control sends it the catalog. Must be used on the event loop only.
 *
 * The last catalog stays in force while control cannot be reached.
 */
class EntryNode(
    settings: NodeSettings,
    private val loop: EventLoop,
    private val clock: Clock,
) {
    private val address = LinkPorts.entry(settings, settings.host)
    private val hello = ProcessHello(settings.node, ProcessRole.ENTRY, IncarnationId.create(), settings.zone, address)
    private val links = HashMap<LinkId, FrameLink>()
    private val linkIds = HashMap<FrameLink, LinkId>()
    private val outboxes = LinkedHashMap<LinkId, DispatchOutbox>()
    private val pauseDetector = PauseDetector(clock)
    private val control = ControlLinks(settings, loop, clock, hello, ::applyState)
    private val scheduler = JobScheduler(clock, Outputs(), LinkTiming.LOST_LINK_RUN_TIMEOUT)
    private val server = FrameServer(loop, clock, address.host, address.port, AgentListener())
    private val rebalancer = CallerRebalancer(EntryLife(hello.incarnation, hello.zone)).takeIf { settings.processorShare.isScarce() }
    private var directoryVersion = 0L
    private var lastLinkNumber = 0L
    private var isStopping = false
    private var isListening = false

    /** The catalog in force, or null before the first was received. */
    val catalog: Catalog? get() = control.state?.catalog

    /** The queues of [catalog]. */
    var queues = QueueIndex(emptyList())
        private set

    /** True while jobs can be served: the catalog is known, an agent accepts tasks, and the entry is not stopping. */
    val isReady: Boolean get() = !isStopping && catalog != null && scheduler.openAgents > 0

    /** Number of jobs that are not over. */
    val openJobs: Int get() = scheduler.openJobs

    /** Number of connected agents. */
    val agents: Int get() = scheduler.agents

    /** Number of callers that were asked to connect again. */
    val callersMoved: Long get() = rebalancer?.closedCount ?: 0

    /**
     * Returns whether the connection of a caller that was opened [age] ago is kept after its next reply.
     *
     * @param draw random number from 0 to 1 that stays the same for the connection
     */
    fun keepsCaller(
        age: Duration,
        draw: Double,
    ): Boolean {
        val now = clock.monotonic()
        return rebalancer?.keeps(openedAt = now - age, draw, now) ?: true
    }

    /** Starts to connect to control and to listen for agents. */
    fun start() {
        control.start()
        loop.every(LinkTiming.TICK) { tick() }
    }

    /** Submits a job. [caller] gets exactly one answer. */
    fun submit(
        request: JobRequest,
        caller: Caller,
    ) {
        abandonLinksAfterPause()
        scheduler.submit(request, caller)
    }

    /** Records that [caller] no longer waits for an answer. */
    fun callerLeft(
        id: JobId,
        caller: Caller,
    ) = scheduler.callerLeft(id, caller)

    /** Cancels the job with [id] at all agents, whichever entry owns it. Returns false if this entry does not own it. */
    fun cancel(id: JobId): Boolean {
        links.keys.forEach { outbox(it).cancel(id) }
        return scheduler.cancel(id)
    }

    /** Returns the number of jobs of [queue] of which no task has started. */
    fun unstartedJobs(queue: String): Int = scheduler.unstartedJobs(queue)

    /** Reports not ready from now on. Jobs are still accepted. */
    fun drain() {
        isStopping = true
    }

    /** Ends all jobs. */
    fun endAll() = scheduler.endAll()

    /** Uses [seeds] to find control from now on. */
    fun useSeeds(seeds: List<Address>) = control.useSeeds(seeds)

    private fun applyState(state: SharedState) {
        queues = QueueIndex(state.catalog?.queues.orEmpty())
        scheduler.setZonesOut(state.zonesOut.toSet())
    }

    private fun tick() {
        if (abandonLinksAfterPause()) return
        // The server starts only now, because pauses are detected from the first tick on and no link may be older than that.
        if (!isListening) server.start()
        isListening = true
        val now = clock.monotonic()
        // A silent link is closed by a later timer, so this doesn't change the links.
        for (link in links.values) link.closeIfSilent(LinkTiming.LINK_TIMEOUT, now)
        updateNeighbours(now)
        scheduler.tick()
        links.values.forEach { if (now - it.lastSentAt >= LinkTiming.HEARTBEAT_PERIOD) send(it, DispatchFrame()) }
    }

    private fun updateNeighbours(now: Duration) {
        if (rebalancer == null || directoryVersion == control.directoryVersion) return
        directoryVersion = control.directoryVersion
        val joined = rebalancer.update(control.entries.map { EntryLife(it.incarnation, it.zone) }, now)
        if (joined.isEmpty()) return
        val reason = "${joined.size} entries joined the zone; connections are closed after a reply in ${CallerRebalancer.SETTLING_TIME}"
        logDecision(Decision(kind = "callers_rebalanced", reason = reason))
    }

    /**
     * Closes all links to agents if the process was paused, because the agents may have stopped the tasks of this entry. Returns true if it was.
     * Called before each input, since input that arrived during the pause may be read before the next tick.
     */
    private fun abandonLinksAfterPause(): Boolean {
        val pause = pauseDetector.check() ?: return false
        logDecision(Decision(kind = "paused", reason = "the process was paused for $pause; closing all links to agents"))
        for (link in links.values.toList()) {
            removeLink(link)
            link.close()
        }
        return true
    }

    private fun removeLink(link: FrameLink) {
        val id = linkIds.remove(link) ?: return
        links.remove(id)
        outboxes.remove(id)
        scheduler.linkDown(id, link.lastReceivedAt)
        val age = clock.monotonic() - link.lastReceivedAt
        logDecision(Decision(kind = "agent_lost", reason = "link $id closed; last frame received $age ago"))
    }

    private fun outbox(link: LinkId): DispatchOutbox {
        if (outboxes.isEmpty()) loop.execute(::flush)
        return outboxes.getOrPut(link) { DispatchOutbox() }
    }

    /** Sends the results of one batch of inputs, mostly as one frame for each agent. */
    private fun flush() {
        val pending = outboxes.toMap()
        outboxes.clear()
        for ((id, outbox) in pending) outbox.take().forEach { frame -> links[id]?.let { send(it, frame) } }
    }

    /** Sends [frame] with the number of frames received, from which the agent knows how long this entry waits for its runs to end. */
    private fun send(
        link: FrameLink,
        frame: DispatchFrame,
    ) = link.send(WireJson.encodeToString(frame.copy(received = link.receivedFrames)))

    private inner class Outputs : JobOutputs {
        override fun dispatch(
            link: LinkId,
            dispatch: StepDispatch,
        ) {
            outbox(link).dispatch(dispatch)
        }

        override fun stop(
            link: LinkId,
            job: JobId,
        ) {
            outbox(link).stop(job)
        }

        override fun onDecision(decision: JobDecision) = decision.log()
    }

    private inner class AgentListener : LinkListener {
        override fun onOpen(link: FrameLink) = link.send(WireJson.encodeToString(DispatchFrame(hello = hello)))

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            if (abandonLinksAfterPause()) return link.close()
            if (text == EMPTY_FRAME) {
                linkIds[link]?.let { scheduler.capacityConfirmed(it) }
                return
            }
            val frame = WireJson.decodeFromString<ReportFrame>(text)
            frame.hello?.let { register(link, it) }
            val id = linkIds[link] ?: return
            // The capacity report goes first, because returned tasks are placed by it.
            frame.room?.let { scheduler.capacityReported(id, it) }
            // A cancel goes before the outcomes of the tasks that it stopped, which would otherwise be placed again.
            frame.cancels.forEach { scheduler.cancel(it) }
            frame.outcomes.forEach { scheduler.report(id, it) }
        }

        override fun onClosed(link: FrameLink) = removeLink(link)

        private fun register(
            link: FrameLink,
            hello: ProcessHello,
        ) {
            val id = LinkId(++lastLinkNumber)
            links[id] = link
            linkIds[link] = id
            scheduler.linkUp(id, hello.node, hello.zone)
            logDecision(Decision(kind = "agent_reached", reason = "link $id to ${hello.node} in ${hello.zone}"))
        }
    }

    private companion object {
        /**
         * A job of eight tasks takes several milliseconds of processor time at its entry. On a smaller share of a core, the callers of a lost
         * neighbour are answered late.
         */
        const val ENOUGH_PROCESSOR_SHARE = 0.5

        /** Returns whether an entry with this share of a core cannot take over the callers of its zone. A share of 0 is unknown. */
        fun Double.isScarce() = this > 0 && this < ENOUGH_PROCESSOR_SHARE
    }
}

/** Writes the decision as one log line. */
internal fun JobDecision.log() {
    val fields = LinkedHashMap<String, Any>()
    fields["job"] = job.value
    fields.putAll(details)
    logDecision(Decision(kind = kind, reason = "", fields = fields))
}
