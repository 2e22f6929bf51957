package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.PermitRequest
import io.bluebellramp.messages.TargetState
import kotlin.time.Duration

/** The state of one incarnation of an agent at this entry. It is kept while the agent reconnects. */
internal class AgentSession(
    hello: AgentHello,
) {
    val agent = hello.agent
    val incarnation = hello.incarnation
    val zone = hello.zone

    /** The open connection, or null while the agent is disconnected. */
    var link: LinkId? = null
    var disconnectedAt = Duration.ZERO
    var target: TargetState? = null
    var isLeaving = false
    val outbox = Outbox()
    val unresolvedAttempts = LinkedHashMap<AttemptKey, Attempt>()

    /** Number of outcomes received on this connection. */
    var receivedCount = 0L
    var acknowledgedCount = 0L
    var lastSentDemand: Demand? = null

    /** The last permit request received on this connection. */
    var lastPermitRequest: PermitRequest? = null

    /** The service of the target, or null if no target is present. */
    val service: ServiceId? get() = target?.takeIf { it.present }?.service

    /** True if tasks may be dispatched to the agent. */
    val acceptsWork get() = link != null && !isLeaving && service != null

    /** Resets the state that belongs to one connection and sets the new connection. */
    fun attach(link: LinkId) {
        this.link = link
        outbox.clear()
        receivedCount = 0
        acknowledgedCount = 0
        lastSentDemand = null
        lastPermitRequest = null
        target = null
        isLeaving = false
    }
}
