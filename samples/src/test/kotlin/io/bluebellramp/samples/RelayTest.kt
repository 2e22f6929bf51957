package io.bluebellramp.samples

import io.bluebellramp.core.Address
import io.bluebellramp.messages.RelayRoute
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import kotlin.concurrent.thread
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class RelayTest {
    @TempDir
    lateinit var folder: Path

    private val echoServer = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val cutFile get() = folder.resolve("cut")
    private val relayPort = ServerSocket(0).use { it.localPort }

    private val partition by lazy { NetworkPartition(cutFile) }

    private fun withRelay(test: () -> Unit) {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = echoServer.accept()
                    thread(isDaemon = true) { socket.use { it.getInputStream().copyTo(it.getOutputStream()) } }
                }
            }
        }
        val route = RelayRoute(listen = Address("127.0.0.1:$relayPort"), upstream = Address("127.0.0.1:${echoServer.localPort}"))
        val relay = Relay(listOf(route), partition)
        relay.start()
        try {
            test()
        } finally {
            relay.stop()
            echoServer.close()
        }
    }

    private fun connectFrom(host: String) =
        Socket().apply {
            bind(InetSocketAddress(host, 0))
            connect(InetSocketAddress("127.0.0.1", relayPort))
            soTimeout = RECEIVE_TIMEOUT_MILLIS
        }

    private fun Socket.send(byte: Int) = getOutputStream().write(byte)

    private fun Socket.receive() = getInputStream().read()

    private fun Socket.assertReceivesNothing() {
        soTimeout = NO_DATA_MILLIS
        assertFailsWith<SocketTimeoutException> { receive() }
        soTimeout = RECEIVE_TIMEOUT_MILLIS
    }

    private fun isolate(vararg hosts: String) {
        val draft = Files.write(folder.resolve("draft"), hosts.toList())
        Files.move(draft, cutFile, StandardCopyOption.ATOMIC_MOVE)
        while (partition.isolatedHosts != hosts.toSet()) Thread.yield()
    }

    @Nested
    inner class `An isolated host` {
        @Test
        fun `neither receives nor sends until the partition heals, then everything is delivered, and other hosts are not affected`() =
            withRelay {
                val isolated = connectFrom("127.0.0.11")
                val other = connectFrom("127.0.0.12")
                isolated.send(1)
                assertEquals(1, isolated.receive())
                isolate("127.0.0.11")
                isolated.send(2)
                val connectedLater = connectFrom("127.0.0.11").also { it.send(3) }
                isolated.assertReceivesNothing()
                connectedLater.assertReceivesNothing()
                other.send(4)
                assertEquals(4, other.receive())
                isolate()
                assertEquals(2, isolated.receive())
                assertEquals(3, connectedLater.receive())
            }
    }

    private companion object {
        /** Time limit for a byte that must arrive. */
        const val RECEIVE_TIMEOUT_MILLIS = 30_000

        /** Time in which an isolated connection must receive nothing. */
        const val NO_DATA_MILLIS = 500
    }
}
