package io.bluebellramp.transport

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ControlFrame
import io.bluebellramp.messages.Directory
import io.bluebellramp.messages.NodeSettings
import io.bluebellramp.messages.ProcessHello
import io.bluebellramp.messages.SharedState
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Connects an entry or agent to all control processes. Confined to the event loop.
 *
 * Holds the newest shared state that any of them has sent; an older state never replaces it. While no control process is reachable, the
 * last state stays in force.
 *
 * @param onState called with each newer state
 */
class ControlLinks(
    private val settings: NodeSettings,
    private val loop: EventLoop,
    private val clock: Clock,
    private val hello: ProcessHello,
    private val onState: (SharedState) -> Unit,
) {
    private var seeds = settings.seeds.map { LinkPorts.control(settings, it.host) }
    private val dialers = HashMap<Address, FrameDialer>()
    private val lastNamedAt = HashMap<Address, Duration>()
    private val directories = HashMap<Address, Directory>()

    /** The control processes of [seeds] and [directories], or null after a change of either. */
    private var namedAddresses: Set<Address>? = null
    private val agentCounts = HashMap<Address, Map<ServiceId, Int>>()
    private var announcedService: ServiceId? = null
    private var lastHeartbeatAt = Duration.ZERO
    private val helloText = WireJson.encodeToString(ControlFrame(hello = hello))

    /** The newest state, or null before any was received. */
    var state: SharedState? = null
        private set

    /** Number of control processes with an open link. */
    val reached: Int get() = dialers.values.count { it.link != null }

    /** Entries listed in the directory of any reachable control process. */
    val entries: List<ProcessHello> get() = directories.values.flatMap { it.entries }

    /** Rises whenever [entries] or [agentsOf] may have changed. */
    var directoryVersion = 0L
        private set

    /** Connects to the seeds and maintains the links from then on. */
    fun start() {
        seeds.forEach { dial(it) }
        loop.every(CHECK_PERIOD) { maintainLinks() }
    }

    /** Returns the number of agents of [service], or 0 if it is unknown. A control process that has just started counts too few. */
    fun agentsOf(service: ServiceId): Int = agentCounts.values.maxOfOrNull { it[service] ?: 0 } ?: 0

    /** Tells control that the target of this agent offers [service]. */
    fun announceService(service: ServiceId) {
        if (service == announcedService) return
        announcedService = service
        val text = WireJson.encodeToString(ControlFrame(service = service))
        dialers.values.forEach { it.link?.send(text) }
    }

    /** Replaces the seeds by [next]. Control processes that were known before keep their links. */
    fun useSeeds(next: List<Address>) {
        seeds = next.map { LinkPorts.control(settings, it.host) }
        namedAddresses = null
    }

    private fun maintainLinks() {
        val now = clock.monotonic()
        val named = namedAddresses ?: findNamedAddresses().also { namedAddresses = it }
        for (address in named) {
            lastNamedAt[address] = now
            if (address !in dialers) dial(address)
        }
        if (lastNamedAt.size > named.size) removeUnnamedLinks(now)
        dialers.values.forEach { it.closeIfSilent(now) }
        if (now - lastHeartbeatAt < HEARTBEAT_PERIOD) return
        lastHeartbeatAt = now
        dialers.values.forEach { it.link?.send(EMPTY_FRAME) }
    }

    private fun findNamedAddresses() =
        directories.values.flatMapTo(LinkedHashSet()) { it.controls.map { control -> control.address } } + seeds

    private fun removeUnnamedLinks(now: Duration) =
        lastNamedAt
            .filterValues { now - it > REMOVE_UNNAMED_AFTER }
            .keys
            .toList()
            .forEach { removeLink(it) }

    private fun removeLink(address: Address) {
        lastNamedAt.remove(address)
        dialers.remove(address)?.stop()
        forget(address)
    }

    private fun forget(address: Address) {
        directories.remove(address)
        namedAddresses = null
        agentCounts.remove(address)
        directoryVersion++
    }

    private fun dial(address: Address) {
        val dialer = FrameDialer(loop, clock, address, LINK_SILENCE_TIMEOUT, ControlLinkListener(address))
        dialers[address] = dialer
        dialer.start()
    }

    private fun applyState(next: SharedState) {
        val known = state
        if (known != null && next.index <= known.index) return
        state = next
        val number = next.catalog?.number ?: "none"
        logDecision(Decision(kind = "state", reason = "index ${next.index}: catalog $number, zones out ${next.zonesOut}"))
        onState(next)
    }

    private inner class ControlLinkListener(
        private val address: Address,
    ) : LinkListener {
        override fun onOpen(link: FrameLink) {
            link.send(helloText)
            announcedService?.let { link.send(WireJson.encodeToString(ControlFrame(service = it))) }
            logDecision(Decision(kind = "control_reached", reason = "$address"))
        }

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            if (text == EMPTY_FRAME) return
            val frame = WireJson.decodeFromString<ControlFrame>(text)
            frame.directory?.let {
                directories[address] = it
                namedAddresses = null
            }
            frame.agents?.let { counts -> agentCounts[address] = counts.associate { it.service to it.agents } }
            if (frame.directory != null || frame.agents != null) directoryVersion++
            frame.state?.let { applyState(it) }
        }

        override fun onClosed(link: FrameLink) {
            forget(address)
            logDecision(Decision(kind = "control_lost", reason = "$address"))
        }
    }

    private companion object {
        val CHECK_PERIOD = 200.milliseconds
        val HEARTBEAT_PERIOD = 400.milliseconds

        /** A link without a frame for this long is considered lost: four heartbeat periods. */
        val LINK_SILENCE_TIMEOUT = 1600.milliseconds

        /** A control process that no directory lists any more is dialled for this long: longer than a power failure of the core lasts. */
        val REMOVE_UNNAMED_AFTER = 60.seconds
    }
}
