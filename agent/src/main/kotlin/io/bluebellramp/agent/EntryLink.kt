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

private val PING_PERIOD = 1.seconds

/** Longer than the freeze of an entry that is worth waiting for, and shorter than what a caller would wait. */
private val PING_PATIENCE = 3.seconds

/**
 * One WebSocket connection to the entry at [address]. Frames that wait are merged into one.
 *
 * An entry that does not answer a ping has gone, even if its machine never closed the connection.
 *
 * @param pingPeriod time between pings
 * @param pingPatience how long the answer may take
 */
internal class EntryLink(
    val id: ConnectionId,
    private val address: Address,
    private val client: HttpClient,
    private val metrics: AgentMetrics,
    private val pingPeriod: Duration = PING_PERIOD,
    private val pingPatience: Duration = PING_PATIENCE,
) {
    private val queue = Channel<AgentFrame>(Channel.UNLIMITED)
    private val closed = Channel<Unit>(Channel.CONFLATED)

    /** Queues [frame]. */
    fun send(frame: AgentFrame) {
        queue.trySend(frame)
    }

    /** Sends what is queued, then closes the connection and returns once it is closed. */
    suspend fun finish() {
        queue.close()
        closed.receiveCatching()
    }

    /** Connects, reports the opening and each frame, and returns once the connection is closed; true if it was open. */
    suspend fun run(
        opened: suspend () -> Unit,
        received: suspend (EntryFrame) -> Unit,
    ): Boolean {
        var wasOpen = false
        try {
            client.webSocket("ws://$address/agents") {
                wasOpen = true
                pingIntervalMillis = pingPeriod.inWholeMilliseconds
                timeoutMillis = pingPatience.inWholeMilliseconds
                opened()
                val sender = launch { sendAll() }
                for (frame in incoming) if (frame is Frame.Text) received(decode(frame))
                sender.cancel()
            }
        } catch (e: Exception) {
            currentCoroutineContext().ensureActive()
            Logger.warn("link to entry $address: ${e.message ?: e.javaClass.simpleName}")
        } finally {
            closed.close()
        }
        return wasOpen
    }

    private suspend fun DefaultClientWebSocketSession.sendAll() {
        for (first in queue) {
            var frame = first
            while (true) frame = frame.followedBy(queue.tryReceive().getOrNull() ?: break)
            val text = WireJson.encodeToString(AgentFrame.serializer(), frame)
            metrics.frameSent(text.length)
            send(Frame.Text(text))
        }
        close()
    }

    private fun decode(frame: Frame.Text): EntryFrame {
        val text = frame.readText()
        metrics.frameReceived(text.length)
        return WireJson.decodeFromString(EntryFrame.serializer(), text)
    }
}
