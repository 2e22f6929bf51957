package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.core.Revision
import io.bluebellramp.messages.Permit
import io.bluebellramp.messages.PermitRequest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

/** Whether tasks may start now. Without any permit the state is [EXPIRED]. */
internal enum class PermitState { VALID, OUT_OF_SERVICE, EXPIRED }

/**
 * Holds the agent's permit and requests its renewal. No I/O; confined to the coroutine of the core.
 *
 * A permit is valid from the time of its request, not of its arrival. A permit with a lower revision than the highest seen is ignored.
 */
internal class PermitHolder(
    private val clock: Clock,
    private val options: AgentOptions,
) {
    private class SentRequest(
        val sequence: Long,
        val connection: ConnectionId,
        val sentAt: Duration,
    )

    private val sentRequests = ArrayDeque<SentRequest>()
    private var sequence = 0L
    private var heldPermit: Permit? = null
    private var preferredConnection: ConnectionId? = null
    private var isLastRequestAnswered = false

    /** Monotonic time at which the permit expires. */
    var validUntil = ZERO
        private set

    /** The highest revision seen in a permit. */
    var revision = Revision.ZERO
        private set

    /** Tasks that may run at once according to the last permit, expired or not. */
    val slots: Int get() = heldPermit?.slots ?: 0

    /** Requests that may be served at once according to the last permit, expired or not. */
    val connections: Int get() = heldPermit?.connections ?: 0

    /** Timeout of one task according to the last permit, or null before the first. */
    val taskTimeout: Duration? get() = heldPermit?.taskMillis?.milliseconds

    /** Live entries of the site according to the last permit. */
    val entries: List<Address> get() = heldPermit?.entries.orEmpty()

    /** Time until the permit expires, or zero. */
    val timeLeft: Duration get() = if (heldPermit == null) ZERO else (validUntil - clock.monotonic()).coerceAtLeast(ZERO)

    /** Reads the clock and returns whether tasks may start now. */
    fun state(): PermitState {
        val permit = heldPermit ?: return PermitState.EXPIRED
        if (clock.monotonic() >= validUntil) return PermitState.EXPIRED
        return if (permit.inService) PermitState.VALID else PermitState.OUT_OF_SERVICE
    }

    /** Returns the permit request that is due, addressed to one of [openConnections], or null if none is due. */
    fun nextRequest(openConnections: List<ConnectionId>): AddressedPermitRequest? {
        if (openConnections.isEmpty()) return null
        val now = clock.monotonic()
        val last = sentRequests.lastOrNull()
        val isDue =
            when {
                last == null || last.connection !in openConnections -> true
                isLastRequestAnswered -> now - last.sentAt >= interval()
                else -> now - last.sentAt >= options.permitTimeout
            }
        if (!isDue) return null
        val connection = chooseConnection(openConnections, last)
        isLastRequestAnswered = false
        sequence++
        sentRequests.addLast(SentRequest(sequence = sequence, connection = connection, sentAt = now))
        if (sentRequests.size > MAX_SENT_REQUESTS) sentRequests.removeFirst()
        return AddressedPermitRequest(connection, PermitRequest(sequence, revision))
    }

    /** Accepts [permit] and returns true if it answers a request sent on [connection] and is not older than one already accepted. */
    fun accept(
        connection: ConnectionId,
        permit: Permit,
    ): Boolean {
        val request = sentRequests.firstOrNull { it.sequence == permit.sequence && it.connection == connection } ?: return false
        if (permit.revision < revision) return false
        val current = heldPermit
        if (current != null && permit.revision == current.revision && permit.sequence < current.sequence) return false
        if (request === sentRequests.last()) isLastRequestAnswered = true
        preferredConnection = connection
        val expiresAt = request.sentAt + permit.validMillis.milliseconds
        val isRenewal = current != null && current.revision == permit.revision && current.inService == permit.inService
        validUntil = if (isRenewal) maxOf(validUntil, expiresAt) else expiresAt
        heldPermit = permit
        revision = permit.revision
        return true
    }

    private fun interval(): Duration = if (heldPermit?.inService == false) options.outOfServicePermitInterval else options.permitInterval

    private fun chooseConnection(
        openConnections: List<ConnectionId>,
        last: SentRequest?,
    ): ConnectionId {
        val preferred = preferredConnection
        if (isLastRequestAnswered && preferred != null && preferred in openConnections) return preferred
        val index = openConnections.indexOf(last?.connection)
        return openConnections[(index + 1) % openConnections.size]
    }

    private companion object {
        const val MAX_SENT_REQUESTS = 64
    }
}

/** A permit request and the connection to send it on. */
internal data class AddressedPermitRequest(
    val connection: ConnectionId,
    val request: PermitRequest,
)
