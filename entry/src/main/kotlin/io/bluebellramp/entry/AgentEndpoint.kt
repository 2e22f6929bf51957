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

/** The WebSocket endpoint `/agents`. Passes frames from agents to the core and sends each agent its pending data as one frame. */
internal class AgentEndpoint(
    private val runner: EntryCoreRunner,
    private val frameMetrics: FrameMetrics,
    private val scope: CoroutineScope,
) {
    private class Connection(
        val session: DefaultWebSocketServerSession,
        val signal: Channel<Unit> = Channel(Channel.CONFLATED),
    )

    private val connections = ConcurrentHashMap<LinkId, Connection>()
    private val lastLinkId = AtomicLong()

    /** Adds the WebSocket route. */
    fun Route.agents() {
        webSocket("/agents") { serve(this) }
    }

    /** Requests that pending data for [link] is sent. */
    fun flush(link: LinkId) {
        connections[link]?.signal?.trySend(Unit)
    }

    /** Closes the connection [link] in the background. */
    fun close(link: LinkId) {
        val connection = connections[link] ?: return
        scope.launch { connection.session.close(CloseReason(CloseReason.Codes.GOING_AWAY, "closed by the entry")) }
    }

    private suspend fun serve(session: DefaultWebSocketServerSession) {
        val link = LinkId(lastLinkId.incrementAndGet())
        val connection = Connection(session)
        connections[link] = connection
        session.pingIntervalMillis = PING_INTERVAL_MILLIS
        session.timeoutMillis = PONG_TIMEOUT_MILLIS
        val sender = session.launch { send(link, connection) }
        try {
            for (frame in session.incoming) if (frame is Frame.Text) receive(link, frame.readText())
        } catch (e: SerializationException) {
            session.close(CloseReason(CloseReason.Codes.CANNOT_ACCEPT, e.message.orEmpty().take(MAX_CLOSE_REASON_LENGTH)))
        } finally {
            sender.cancel()
            connections.remove(link)
            withContext(NonCancellable) { runner.withCore { onDisconnected(link, it) } }
        }
    }

    private suspend fun receive(
        link: LinkId,
        text: String,
    ) {
        frameMetrics.recordReceived(text.length)
        val frame = WireJson.decodeFromString(AgentFrame.serializer(), text)
        runner.withCore { now -> onFrame(link, frame, now) }
    }

    private suspend fun send(
        link: LinkId,
        connection: Connection,
    ) {
        for (signal in connection.signal) {
            val frame = runner.withCore { now -> takeFrame(link, now) } ?: continue
            val text = WireJson.encodeToString(EntryFrame.serializer(), frame)
            frameMetrics.recordSent(text.length)
            connection.session.send(Frame.Text(text))
        }
    }

    private companion object {
        const val MAX_CLOSE_REASON_LENGTH = 100
        const val PING_INTERVAL_MILLIS = 500L

        /** An agent that answers no ping for this long is disconnected and gets no more work. */
        const val PONG_TIMEOUT_MILLIS = 2_000L
    }
}
