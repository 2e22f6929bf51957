package io.bluebellramp.transport

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
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
 * The links of an entry or agent to all control processes. Use it on the event loop only.
 *
 * It knows the newest shared state that any of them told, which never gets older in the life of the process. While none can be reached
 * the last one stays in force.
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
    private val namedAt = HashMap<Address, Duration>()
    private val directories = HashMap<Address, Directory>()
    private var beatAt = Duration.ZERO
    private val helloText = WireJson.encodeToString(ControlFrame(hello = hello))

    /** The newest state, or null before any was told. */
    var state: SharedState? = null
        private set

    /** Control processes that can be reached. */
    val reached: Int get() = dialers.values.count { it.link != null }

    /** Entries that any reachable control process names. */
    val entries: List<ProcessHello> get() = directories.values.flatMap { it.entries }

    /** Starts to dial. */
    fun start() {
        seeds.forEach { dial(it) }
        loop.every(TICK) { tick() }
    }

    /** Looks for control at [next] too; processes that are known already stay known. */
    fun useSeeds(next: List<Address>) {
        seeds = next.map { LinkPorts.control(settings, it.host) }
    }

    private fun tick() {
        val now = clock.monotonic()
        val named = directories.values.flatMap { it.controls }.map { it.address }
        (named + seeds).forEach { namedAt[it] = now }
        (namedAt.keys - dialers.keys).forEach { dial(it) }
        namedAt
            .filterValues { now - it > FORGET_AFTER }
            .keys
            .toList()
            .forEach { forget(it) }
        dialers.values.forEach { it.check(now) }
        if (now - beatAt < BEAT_PERIOD) return
        beatAt = now
        dialers.values.forEach { it.link?.send(EMPTY_FRAME) }
    }

    private fun forget(address: Address) {
        namedAt.remove(address)
        dialers.remove(address)?.stop()
        directories.remove(address)
    }

    private fun dial(address: Address) {
        val dialer = FrameDialer(loop, clock, address, LINK_SILENCE, Listener(address))
        dialers[address] = dialer
        dialer.start()
    }

    private fun take(next: SharedState) {
        val known = state
        if (known != null && next.index <= known.index) return
        state = next
        val number = next.catalog?.number ?: "none"
        logDecision(Decision(kind = "state", reason = "index ${next.index}: catalog $number, zones out ${next.zonesOut}"))
        onState(next)
    }

    private inner class Listener(
        private val address: Address,
    ) : LinkListener {
        override fun onOpen(link: FrameLink) {
            link.send(helloText)
            logDecision(Decision(kind = "control_reached", reason = "$address"))
        }

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            if (text == EMPTY_FRAME) return
            val frame = WireJson.decodeFromString<ControlFrame>(text)
            frame.directory?.let { directories[address] = it }
            frame.state?.let { take(it) }
        }

        override fun onClosed(link: FrameLink) {
            directories.remove(address)
            logDecision(Decision(kind = "control_lost", reason = "$address"))
        }
    }

    private companion object {
        val TICK = 200.milliseconds
        val BEAT_PERIOD = 400.milliseconds

        /** A link without a frame for this long is taken for lost: four beats. */
        val LINK_SILENCE = 1600.milliseconds

        /** A control process that nobody names any more is dialled for this long; longer than a loss of power of the core lasts. */
        val FORGET_AFTER = 60.seconds
        const val EMPTY_FRAME = "{}"
    }
}
