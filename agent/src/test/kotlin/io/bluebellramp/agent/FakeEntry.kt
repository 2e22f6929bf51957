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
 * An entry on a real socket that permits everything and spends each credit on the next payload of [payloads].
 *
 * Credits may come before the payloads do. They are kept, and spent at the next frame of the agent.
 */
internal class FakeEntry(
    name: String = "e1",
    val address: Address = freeAddress(),
    private val slots: Int = 2,
) : AutoCloseable {
    val payloads = ArrayDeque<String>()
    val outcomes = Channel<TaskOutcome>(Channel.UNLIMITED)
    val leaving = Channel<Unit>(Channel.CONFLATED)

    /** Tells that credits have come. */
    val granted = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    var permitted = true
    private val hello = EntryHello(EntryId(name), IncarnationId("run1"))
    private val server = httpServer(address, Ready, PrometheusRegistry()) { agents() }

    init {
        server.start(wait = false)
    }

    override fun close() = server.stop(0, 0)

    private fun Route.agents() =
        webSocket("/agents") {
            var agent: IncarnationId? = null
            var received = 0L
            var credits = 0
            reply(EntryFrame(hello = hello))
            for (text in incoming) {
                val frame = WireJson.decodeFromString<AgentFrame>((text as Frame.Text).readText())
                frame.hello?.let { agent = it.incarnation }
                frame.outcomes.forEach { outcomes.send(it) }
                received += frame.outcomes.size
                if (frame.leaving) leaving.send(Unit)
                credits += frame.credits?.slots ?: 0
                if (credits > 0) granted.trySend(Unit)
                val returned = minOf(credits, frame.recalled?.slots ?: 0)
                credits -= returned
                val work = synchronized(payloads) { List(minOf(credits, payloads.size)) { payloads.removeFirst() } }
                credits -= work.size
                val permit = frame.permitRequest?.takeIf { permitted }?.let { permit(it.sequence) }
                val dispatches = work.map { dispatch(it, checkNotNull(agent)) }
                val waiting = synchronized(payloads) { payloads.size }
                reply(
                    EntryFrame(
                        permit = permit,
                        demand = Demand(waiting, waiting),
                        dispatches = dispatches,
                        received = received,
                        returned = Credits(returned, 0).takeIf { returned > 0 },
                    ),
                )
            }
        }

    private suspend fun DefaultWebSocketServerSession.reply(frame: EntryFrame) =
        send(Frame.Text(WireJson.encodeToString(EntryFrame.serializer(), frame)))

    private fun permit(sequence: Long) =
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

    private fun dispatch(
        payload: String,
        agent: IncarnationId,
    ) = Dispatch(SubmissionId.create(Instant.now()), 0, 0, agent, DispatchKind.TASK, payload, remainingMillis = 10_000)
}

internal object Ready : Health {
    override fun isReady() = true
}

internal fun freeAddress() = ServerSocket(0).use { Address("127.0.0.1:${it.localPort}") }
