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

private val FIRST_BACK_OFF = 20.milliseconds
private val LAST_BACK_OFF = 500.milliseconds

/**
 * Keeps one connection to each wanted entry and dials again when one breaks.
 *
 * @param inputs gets what happens on the connections
 */
internal class EntryLinks(
    private val seeds: List<Address>,
    private val client: HttpClient,
    private val scope: CoroutineScope,
    private val metrics: AgentMetrics,
    private val inputs: suspend (AgentInput) -> Unit,
) {
    private val dialing = HashMap<Address, Job>()
    private val open = ConcurrentHashMap<ConnectionId, EntryLink>()
    private val lastConnection = AtomicLong()

    @Volatile
    private var wanted = seeds.toSet()

    /** Dials [learned], and also the seeds while no connection is open. A connection that works is kept. */
    fun dial(learned: List<Address>) {
        wanted = if (learned.isEmpty() || open.isEmpty()) learned.toSet() + seeds else learned.toSet()
        dialing.values.removeIf { it.isCompleted }
        for (address in wanted) {
            // Ktor blocks its thread for the nonce of a handshake, which another coroutine of the default dispatcher makes.
            if (address !in dialing) dialing[address] = scope.launch(Dispatchers.IO) { keep(address) }
        }
    }

    /** Queues [frame] for [connection] if it is open. */
    fun send(
        connection: ConnectionId,
        frame: AgentFrame,
    ) {
        open[connection]?.send(frame)
    }

    /** Sends what is queued and closes all connections. */
    suspend fun close() {
        wanted = emptySet()
        open.values.map { scope.launch { it.finish() } }.joinAll()
    }

    private suspend fun keep(address: Address) {
        var backOff = FIRST_BACK_OFF
        while (address in wanted) {
            val id = ConnectionId(lastConnection.incrementAndGet())
            val link = EntryLink(id, address, client, metrics)
            val wasOpen =
                link.run(
                    opened = {
                        open[id] = link
                        inputs(AgentInput.ConnectionOpened(id))
                    },
                    received = { inputs(AgentInput.FrameReceived(id, it)) },
                )
            open.remove(id)
            if (wasOpen) inputs(AgentInput.ConnectionClosed(id))
            backOff = if (wasOpen) FIRST_BACK_OFF else minOf(backOff * 2, LAST_BACK_OFF)
            delay(jittered(backOff))
        }
    }

    private fun jittered(time: Duration) = time * Random.nextDouble(from = 0.5, until = 1.0)
}
