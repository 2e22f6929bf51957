package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.Revision
import io.bluebellramp.messages.Permit
import io.bluebellramp.messages.PermitRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

/** Whether tasks may start now. */
internal enum class PermitState { LIVE, OUT_OF_SERVICE, DEAD }

/**
 * Holds the permit of the agent and asks for the next one. No I/O; confined to the coroutine of the core.
 *
 * The life of a permit counts from the moment its request was made, and a revision below the highest one seen is ignored.
 */
internal class PermitHolder(
    private val clock: Clock,
    private val options: AgentOptions,
) {
    private class Sent(
        val sequence: Long,
        val connection: ConnectionId,
        val at: Duration,
    )

    private val sent = ArrayDeque<Sent>()
    private var sequence = 0L
    private var held: Permit? = null
    private var preferred: ConnectionId? = null
    private var answered = false

    /** End of the permit on the monotonic clock. */
    var heldUntil = ZERO
        private set

    /** The highest revision seen in a permit. */
    var revision = Revision.ZERO
        private set

    /** Tasks that may run at once as of the last permit, alive or not. */
    val slots: Int get() = held?.slots ?: 0

    /** Requests that may be served at once as of the last permit, alive or not. */
    val connections: Int get() = held?.connections ?: 0

    /** Longest run time of one task as of the last permit. */
    val taskTime: Duration? get() = held?.taskMillis?.milliseconds

    /** Live entries of the site as of the last permit. */
    val entries: List<Address> get() = held?.entries.orEmpty()

    /** Time left of the permit, or zero. */
    val left: Duration get() = if (held == null) ZERO else (heldUntil - clock.monotonic()).coerceAtLeast(ZERO)

    /** Reads the clock and tells whether tasks may start at this moment. */
    fun state(): PermitState {
        val permit = held ?: return PermitState.DEAD
        if (clock.monotonic() >= heldUntil) return PermitState.DEAD
        return if (permit.inService) PermitState.LIVE else PermitState.OUT_OF_SERVICE
    }

    /** Returns the request that is due and the one of [open] to send it to, or null if none is due. */
    fun request(open: List<ConnectionId>): AddressedPermitRequest? {
        if (open.isEmpty()) return null
        val now = clock.monotonic()
        val last = sent.lastOrNull()
        val due =
            when {
                last == null || last.connection !in open -> true
                answered -> now - last.at >= period()
                else -> now - last.at >= options.permitPatience
            }
        if (!due) return null
        val connection = choose(open, last)
        answered = false
        sequence++
        sent.addLast(Sent(sequence = sequence, connection = connection, at = now))
        if (sent.size > REQUESTS_KEPT) sent.removeFirst()
        return AddressedPermitRequest(connection, PermitRequest(sequence, revision))
    }

    /** Takes [permit] if it answers a request that was sent on [connection] and is not older than what was seen. */
    fun accept(
        connection: ConnectionId,
        permit: Permit,
    ): Boolean {
        val request = sent.firstOrNull { it.sequence == permit.sequence && it.connection == connection } ?: return false
        if (permit.revision < revision) return false
        val current = held
        if (current != null && permit.revision == current.revision && permit.sequence < current.sequence) return false
        if (request === sent.last()) answered = true
        preferred = connection
        val until = request.at + permit.validMillis.milliseconds
        val extends = current != null && current.revision == permit.revision && current.inService == permit.inService
        heldUntil = if (extends) maxOf(heldUntil, until) else until
        held = permit
        revision = permit.revision
        return true
    }

    private fun period(): Duration = if (held?.inService == false) options.outPermitPeriod else options.permitPeriod

    private fun choose(
        open: List<ConnectionId>,
        last: Sent?,
    ): ConnectionId {
        val kept = preferred
        if (answered && kept != null && kept in open) return kept
        val place = open.indexOf(last?.connection)
        return open[(place + 1) % open.size]
    }

    private companion object {
        const val REQUESTS_KEPT = 64
    }
}

/** A permit request and the connection to send it on. */
internal data class AddressedPermitRequest(
    val connection: ConnectionId,
    val request: PermitRequest,
)
