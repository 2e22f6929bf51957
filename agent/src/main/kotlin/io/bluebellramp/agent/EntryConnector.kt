package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.messages.AgentFrame
import io.ktor.client.HttpClient
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

private val INITIAL_BACKOFF = 20.milliseconds
private val MAX_BACKOFF = 500.milliseconds

/**
 * Keeps one connection to each wanted entry and reconnects when one breaks.
 *
 * @param onInput receives the events of the connections
 */
internal class EntryConnector(
    private val seeds: List<Address>,
    private val client: HttpClient,
    private val scope: CoroutineScope,
    private val metrics: AgentMetrics,
    private val onInput: suspend (AgentInput) -> Unit,
) {
    private val connectionJobs = HashMap<Address, Job>()
    private val openSockets = ConcurrentHashMap<ConnectionId, EntryWebSocket>()
    private val lastConnectionId = AtomicLong()

    @Volatile
    private var wantedAddresses = seeds.toSet()

    /** Connects to [discovered], and also to the seeds while no connection is open. Open connections are kept. */
    fun connect(discovered: List<Address>) {
        wantedAddresses = if (discovered.isEmpty() || openSockets.isEmpty()) discovered.toSet() + seeds else discovered.toSet()
        connectionJobs.values.removeIf { it.isCompleted }
        for (address in wantedAddresses) {
            // The handshake in Ktor blocks its thread until another coroutine of the default dispatcher has generated a nonce.
            if (address !in connectionJobs) connectionJobs[address] = scope.launch(Dispatchers.IO) { maintainConnection(address) }
        }
    }

    /** Queues [frame] for [connection] if it is open. */
    fun send(
        connection: ConnectionId,
        frame: AgentFrame,
    ) {
        openSockets[connection]?.send(frame)
    }

    /** Sends the queued frames and closes all connections. */
    suspend fun close() {
        wantedAddresses = emptySet()
        openSockets.values.map { scope.launch { it.flushAndClose() } }.joinAll()
    }

    private suspend fun maintainConnection(address: Address) {
        var backoff = INITIAL_BACKOFF
        while (address in wantedAddresses) {
            val id = ConnectionId(lastConnectionId.incrementAndGet())
            val socket = EntryWebSocket(id, address, client, metrics)
            val wasOpen =
                socket.run(
                    onOpened = {
                        openSockets[id] = socket
                        onInput(AgentInput.ConnectionOpened(id))
                    },
                    onFrame = { onInput(AgentInput.FrameReceived(id, it)) },
                )
            openSockets.remove(id)
            if (wasOpen) onInput(AgentInput.ConnectionClosed(id))
            backoff = if (wasOpen) INITIAL_BACKOFF else minOf(backoff * 2, MAX_BACKOFF)
            delay(withJitter(backoff))
        }
    }

    private fun withJitter(time: Duration) = time * Random.nextDouble(from = 0.5, until = 1.0)
}
