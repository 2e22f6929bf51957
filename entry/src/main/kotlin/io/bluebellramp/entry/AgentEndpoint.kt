package io.bluebellramp.entry

import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.EntryFrame
import io.ktor.server.routing.Route
import io.ktor.server.websocket.DefaultWebSocketServerSession
import io.ktor.server.websocket.webSocket
import io.ktor.websocket.CloseReason
import io.ktor.websocket.Frame
import io.ktor.websocket.close
import io.ktor.websocket.readText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerializationException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** The WebSocket at `/agents`: takes the frames of agents and sends each agent what waits for it as one frame. */
internal class AgentEndpoint(
    private val shell: EntryShell,
    private val traffic: Traffic,
    private val scope: CoroutineScope,
) {
    private class Connection(
        val session: DefaultWebSocketServerSession,
        val signal: Channel<Unit> = Channel(Channel.CONFLATED),
    )

    private val connections = ConcurrentHashMap<LinkId, Connection>()
    private val lastLink = AtomicLong()

    /** Adds the route. */
    fun Route.agents() {
        webSocket("/agents") { serve(this) }
    }

    /** Tells the sender of [link] that something waits. */
    fun wake(link: LinkId) {
        connections[link]?.signal?.trySend(Unit)
    }

    /** Closes [link]. */
    fun close(link: LinkId) {
        val connection = connections[link] ?: return
        scope.launch { connection.session.close(CloseReason(CloseReason.Codes.GOING_AWAY, "closed by the entry")) }
    }

    private suspend fun serve(session: DefaultWebSocketServerSession) {
        val link = LinkId(lastLink.incrementAndGet())
        val connection = Connection(session)
        connections[link] = connection
        session.pingIntervalMillis = PING_MILLIS
        session.timeoutMillis = SILENCE_MILLIS
        val sender = session.launch { send(link, connection) }
        try {
            for (frame in session.incoming) if (frame is Frame.Text) receive(link, frame.readText())
        } catch (e: SerializationException) {
            session.close(CloseReason(CloseReason.Codes.CANNOT_ACCEPT, e.message.orEmpty().take(MAX_REASON)))
        } finally {
            sender.cancel()
            connections.remove(link)
            withContext(NonCancellable) { shell.use { closed(link, it) } }
        }
    }

    private suspend fun receive(
        link: LinkId,
        text: String,
    ) {
        traffic.received(text.length)
        val frame = WireJson.decodeFromString(AgentFrame.serializer(), text)
        shell.use { now -> frame(link, frame, now) }
    }

    private suspend fun send(
        link: LinkId,
        connection: Connection,
    ) {
        for (signal in connection.signal) {
            val frame = shell.use { now -> drain(link, now) } ?: continue
            val text = WireJson.encodeToString(EntryFrame.serializer(), frame)
            traffic.sent(text.length)
            connection.session.send(Frame.Text(text))
        }
    }

    private companion object {
        const val MAX_REASON = 100
        const val PING_MILLIS = 500L

        /** An agent that answers no ping for this long is disconnected, so that it gets no more work. */
        const val SILENCE_MILLIS = 2_000L
    }
}
