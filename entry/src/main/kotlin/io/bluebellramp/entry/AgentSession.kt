package io.bluebellramp.entry

import io.bluebellramp.core.ServiceId
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.PermitRequest
import io.bluebellramp.messages.TargetState
import kotlin.time.Duration

/** What an entry knows of one incarnation of an agent. It outlives a broken connection. */
internal class AgentSession(
    hello: AgentHello,
) {
    val agent = hello.agent
    val incarnation = hello.incarnation
    val zone = hello.zone

    /** The open connection, or null. */
    var link: LinkId? = null
    var closedAt = Duration.ZERO
    var target: TargetState? = null
    var isLeaving = false
    val outbox = Outbox()
    val unresolved = LinkedHashMap<AttemptKey, Attempt>()

    /** Outcomes received on this connection. */
    var received = 0L
    var receivedSent = 0L
    var demandSent: Demand? = null

    /** The last permit request on this connection. */
    var lastRequest: PermitRequest? = null

    /** The service of the target that is there, or null. */
    val service: ServiceId? get() = target?.takeIf { it.present }?.service

    /** True if it may be given work. */
    val takesWork get() = link != null && !isLeaving && service != null

    /** Starts over on a new connection. */
    fun attach(link: LinkId) {
        this.link = link
        outbox.clear()
        received = 0
        receivedSent = 0
        demandSent = null
        lastRequest = null
        target = null
        isLeaving = false
    }
}
