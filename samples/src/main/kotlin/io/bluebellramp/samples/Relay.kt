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
 * A TCP relay that listens at the advertised addresses of processes and forwards data in both directions.
 *
 * While [partition] isolates the IP address of the caller or of the upstream, new connections are accepted but not forwarded, and the data
 * and closes of open connections are held back. They are delivered once the partition has healed, as TCP does after a silent packet loss.
 */
internal class Relay(
    private val routes: List<RelayRoute>,
    private val partition: NetworkPartition,
) : RunningProgram {
    private val servers = mutableListOf<ServerSocket>()
    private val sockets: MutableSet<Socket> = ConcurrentHashMap.newKeySet()

    /** Starts to listen at the address of every route. */
    fun start() {
        partition.startWatching()
        for (route in routes) {
            val server = ServerSocket(route.listen.port, BACKLOG_CONNECTIONS, InetAddress.getByName(route.listen.host))
            servers += server
            startDaemon { while (true) server.accept().let { caller -> startDaemon { serve(caller, route) } } }
        }
    }

    override fun stop() {
        servers.forEach { it.close() }
        sockets.forEach { it.close() }
    }

    private fun serve(
        caller: Socket,
        route: RelayRoute,
    ) = closeAfter(caller) {
        val source = caller.inetAddress.hostAddress
        val host = route.upstream.host
        partition.awaitReachable(source, host)
        val upstream = Socket()
        closeAfter(upstream) {
            upstream.connect(InetSocketAddress(host, route.upstream.port), CONNECT_TIMEOUT_MILLIS)
            upstream.tcpNoDelay = true
            caller.tcpNoDelay = true
            val responseThread = startDaemon { forward(upstream, caller) { partition.awaitReachable(host, source) } }
            forward(caller, upstream) { partition.awaitReachable(source, host) }
            responseThread.join()
        }
    }

    /** Copies the data from [from] to [to] until its end, which is passed on too. Each part first waits for [awaitReachable]. */
    private fun forward(
        from: Socket,
        to: Socket,
        awaitReachable: () -> Unit,
    ) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            while (true) {
                val count = from.getInputStream().read(buffer)
                awaitReachable()
                if (count < 0) break
                to.getOutputStream().write(buffer, 0, count)
            }
            to.shutdownOutput()
        } catch (_: IOException) {
            // A reset on one side closes both, but not before the hosts can reach each other.
            awaitReachable()
            from.close()
            to.close()
        }
    }

    private fun closeAfter(
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

    /** Runs [action] in a daemon thread, which ends if the connection fails. */
    private fun startDaemon(action: () -> Unit): Thread =
        thread(isDaemon = true) {
            try {
                action()
            } catch (_: IOException) {
                // The sockets are closed, so that the other side sees the end of the connection.
            }
        }

    private companion object {
        const val BACKLOG_CONNECTIONS = 100
        const val CONNECT_TIMEOUT_MILLIS = 1000
        const val BUFFER_BYTES = 16_384
    }
}
