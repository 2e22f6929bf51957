package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.EntryFrame
import io.ktor.client.HttpClient
import io.ktor.client.plugins.websocket.DefaultClientWebSocketSession
import io.ktor.client.plugins.websocket.webSocket
import io.ktor.websocket.Frame
import io.ktor.websocket.close
import io.ktor.websocket.readText
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch
import org.tinylog.kotlin.Logger
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

private val PING_INTERVAL = 1.seconds

/** Long enough to ride out a short freeze of an entry, and shorter than callers are willing to wait. */
private val PING_TIMEOUT = 3.seconds

/**
 * One WebSocket connection to the entry at [address]. Queued frames are merged into one.
 *
 * An entry that does not answer a ping counts as disconnected, even if its machine never closed the connection.
 *
 * @param pingInterval time between pings
 * @param pingTimeout how long the answer to a ping may take
 */
internal class EntryWebSocket(
    val id: ConnectionId,
    private val address: Address,
    private val client: HttpClient,
    private val metrics: AgentMetrics,
    private val pingInterval: Duration = PING_INTERVAL,
    private val pingTimeout: Duration = PING_TIMEOUT,
) {
    private val sendQueue = Channel<AgentFrame>(Channel.UNLIMITED)
    private val closedSignal = Channel<Unit>(Channel.CONFLATED)

    /** Queues [frame] for sending. */
    fun send(frame: AgentFrame) {
        sendQueue.trySend(frame)
    }

    /** Sends the queued frames, closes the connection and returns once it is closed. */
    suspend fun flushAndClose() {
        sendQueue.close()
        closedSignal.receiveCatching()
    }

    /** Connects, reports the opening and each frame, and returns once the connection is closed: true if it had been opened. */
    suspend fun run(
        onOpened: suspend () -> Unit,
        onFrame: suspend (EntryFrame) -> Unit,
    ): Boolean {
        var wasOpen = false
        try {
            client.webSocket("ws://$address/agents") {
                wasOpen = true
                pingIntervalMillis = pingInterval.inWholeMilliseconds
                timeoutMillis = pingTimeout.inWholeMilliseconds
                onOpened()
                val sender = launch { sendAll() }
                for (frame in incoming) if (frame is Frame.Text) onFrame(decode(frame))
                sender.cancel()
            }
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            Logger.warn("connection to entry $address failed: ${e.message ?: e.javaClass.simpleName}")
        } finally {
            closedSignal.close()
        }
        return wasOpen
    }

    private suspend fun DefaultClientWebSocketSession.sendAll() {
        for (first in sendQueue) {
            var frame = first
            while (true) frame = frame.mergedWith(sendQueue.tryReceive().getOrNull() ?: break)
            val text = WireJson.encodeToString(AgentFrame.serializer(), frame)
            metrics.countFrameSent(text.length)
            send(Frame.Text(text))
        }
        close()
    }

    private fun decode(frame: Frame.Text): EntryFrame {
        val text = frame.readText()
        metrics.countFrameReceived(text.length)
        return WireJson.decodeFromString(EntryFrame.serializer(), text)
    }
}
