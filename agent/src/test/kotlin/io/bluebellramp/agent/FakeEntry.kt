package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.EntryHello
import io.bluebellramp.messages.Permit
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.runtime.Health
import io.bluebellramp.runtime.httpServer
import io.ktor.server.routing.Route
import io.ktor.server.websocket.DefaultWebSocketServerSession
import io.ktor.server.websocket.webSocket
import io.ktor.websocket.Frame
import io.ktor.websocket.readText
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.channels.Channel
import java.net.ServerSocket
import java.time.Instant

/**
 * An entry on a real socket that grants permits while [grantsPermits] is true and spends each credit on the next of [payloads].
 *
 * Credits may arrive before the payloads. Unspent credits are kept and used when the next frame of the agent arrives.
 */
internal class FakeEntry(
    name: String = "e1",
    val address: Address = freeAddress(),
    private val slots: Int = 2,
) : AutoCloseable {
    val payloads = ArrayDeque<String>()
    val outcomes = Channel<TaskOutcome>(Channel.UNLIMITED)
    val leaving = Channel<Unit>(Channel.CONFLATED)

    /** Signals that the entry holds credits. */
    val creditsReceived = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    var grantsPermits = true
    private val hello = EntryHello(EntryId(name), IncarnationId("run1"))
    private val server = httpServer(address, AlwaysReady, PrometheusRegistry()) { agentRoute() }

    init {
        server.start(wait = false)
    }

    override fun close() = server.stop(0, 0)

    private fun Route.agentRoute() =
        webSocket("/agents") {
            var agent: IncarnationId? = null
            var received = 0L
            var credits = 0
            reply(EntryFrame(hello = hello))
            for (message in incoming) {
                val frame = WireJson.decodeFromString<AgentFrame>((message as Frame.Text).readText())
                frame.hello?.let { agent = it.incarnation }
                frame.outcomes.forEach { outcomes.send(it) }
                received += frame.outcomes.size
                if (frame.leaving) leaving.send(Unit)
                credits += frame.credits?.slots ?: 0
                if (credits > 0) creditsReceived.trySend(Unit)
                val returned = minOf(credits, frame.recalled?.slots ?: 0)
                credits -= returned
                val batch = synchronized(payloads) { List(minOf(credits, payloads.size)) { payloads.removeFirst() } }
                credits -= batch.size
                val permit = frame.permitRequest?.takeIf { grantsPermits }?.let { createPermit(it.sequence) }
                val dispatches = batch.map { createDispatch(it, checkNotNull(agent)) }
                val remaining = synchronized(payloads) { payloads.size }
                reply(
                    EntryFrame(
                        permit = permit,
                        demand = Demand(remaining, remaining),
                        dispatches = dispatches,
                        received = received,
                        returned = Credits(returned, 0).takeIf { returned > 0 },
                    ),
                )
            }
        }

    private suspend fun DefaultWebSocketServerSession.reply(frame: EntryFrame) =
        send(Frame.Text(WireJson.encodeToString(EntryFrame.serializer(), frame)))

    private fun createPermit(sequence: Long) =
        Permit(
            sequence = sequence,
            revision = Revision(1),
            validMillis = 2000,
            inService = true,
            slots = slots,
            connections = 4,
            taskMillis = 5000,
            entries = listOf(address),
        )

    private fun createDispatch(
        payload: String,
        agent: IncarnationId,
    ) = Dispatch(SubmissionId.create(Instant.now()), 0, 0, agent, DispatchKind.TASK, payload, remainingMillis = 10_000)
}

internal object AlwaysReady : Health {
    override fun isReady() = true
}

internal fun freeAddress() = ServerSocket(0).use { Address("127.0.0.1:${it.localPort}") }
