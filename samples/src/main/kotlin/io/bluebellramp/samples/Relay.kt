package io.bluebellramp.samples

import io.bluebellramp.messages.RelayRoute
import io.bluebellramp.runtime.RunningProgram
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

/**
 * Stands in for processes at their advertised addresses and forwards both ways.
 *
 * While the caller's or the upstream's IP number is in [partition], new connections are accepted and lead nowhere, and all bytes and closes
 * of open ones are held. They are delivered once the partition has healed, as TCP does after a silent loss.
 */
internal class Relay(
    private val routes: List<RelayRoute>,
    private val partition: Partition,
) : RunningProgram {
    private val servers = mutableListOf<ServerSocket>()
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    /** Starts to listen at every route. */
    fun start() {
        partition.follow()
        for (route in routes) {
            val server = ServerSocket(route.listen.port, BACKLOG, InetAddress.getByName(route.listen.host))
            servers += server
            daemon { while (true) server.accept().let { caller -> daemon { serve(caller, route) } } }
        }
    }

    override fun stop() {
        servers.forEach { it.close() }
        sockets.forEach { it.close() }
    }

    private fun serve(
        caller: Socket,
        route: RelayRoute,
    ) = closing(caller) {
        val source = caller.inetAddress.hostAddress
        val host = route.upstream.host
        partition.awaitOpen(source, host)
        val upstream = Socket()
        closing(upstream) {
            upstream.connect(InetSocketAddress(host, route.upstream.port), CONNECT_MILLIS)
            upstream.tcpNoDelay = true
            caller.tcpNoDelay = true
            val back = daemon { pump(upstream, caller) { partition.awaitOpen(host, source) } }
            pump(caller, upstream) { partition.awaitOpen(source, host) }
            back.join()
        }
    }

    /** Copies what [from] sends, and its end, to [to]. Each part waits until the way is open. */
    private fun pump(
        from: Socket,
        to: Socket,
        awaitOpen: () -> Unit,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                awaitOpen()
                if (count < 0) break
                to.getOutputStream().write(buffer, 0, count)
            }
            to.shutdownOutput()
        } catch (_: IOException) {
            // A reset on one side ends both, but no sooner than the way is open.
            awaitOpen()
            from.close()
            to.close()
        }
    }

    private fun closing(
        socket: Socket,
        use: () -> Unit,
    ) {
        sockets += socket
        try {
            socket.use { use() }
        } finally {
            sockets -= socket
        }
    }

    /** Runs [action] in a thread of its own. A failed connection ends it. */
    private fun daemon(action: () -> Unit): Thread =
        thread(isDaemon = true) {
            try {
                action()
            } catch (_: IOException) {
                // The sockets are closed; the other side sees the end of the connection.
            }
        }

    private companion object {
        const val BACKLOG = 100
        const val CONNECT_MILLIS = 1000
        const val BUFFER_BYTES = 16_384
    }
}
