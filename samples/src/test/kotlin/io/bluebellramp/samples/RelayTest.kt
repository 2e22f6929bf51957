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

    private val echo = ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"))
    private val cutFile get() = folder.resolve("cut")
    private val relayPort = ServerSocket(0).use { it.localPort }

    private val partition by lazy { Partition(cutFile) }

    private fun withRelay(test: () -> Unit) {
        thread(isDaemon = true) {
            runCatching {
                while (true) {
                    val socket = echo.accept()
                    thread(isDaemon = true) { socket.use { it.getInputStream().copyTo(it.getOutputStream()) } }
                }
            }
        }
        val route = RelayRoute(listen = Address("127.0.0.1:$relayPort"), upstream = Address("127.0.0.1:${echo.localPort}"))
        val relay = Relay(listOf(route), partition)
        relay.start()
        try {
            test()
        } finally {
            relay.stop()
            echo.close()
        }
    }

    private fun connectFrom(host: String) =
        Socket().apply {
            bind(InetSocketAddress(host, 0))
            connect(InetSocketAddress("127.0.0.1", relayPort))
            soTimeout = LONGEST_WAIT_MILLIS
        }

    private fun Socket.send(byte: Int) = getOutputStream().write(byte)

    private fun Socket.receive() = getInputStream().read()

    private fun Socket.assertSilent() {
        soTimeout = SILENCE_MILLIS
        assertFailsWith<SocketTimeoutException> { receive() }
        soTimeout = LONGEST_WAIT_MILLIS
    }

    private fun cut(vararg hosts: String) {
        val draft = Files.write(folder.resolve("draft"), hosts.toList())
        Files.move(draft, cutFile, StandardCopyOption.ATOMIC_MOVE)
        while (partition.cutOff != hosts.toSet()) Thread.yield()
    }

    @Nested
    inner class `A host that is cut off` {
        @Test
        fun `gets and sends nothing until it heals, and then all of it, while others go on`() =
            withRelay {
                val cutOff = connectFrom("127.0.0.11")
                val other = connectFrom("127.0.0.12")
                cutOff.send(1)
                assertEquals(1, cutOff.receive())
                cut("127.0.0.11")
                cutOff.send(2)
                val late = connectFrom("127.0.0.11").also { it.send(3) }
                cutOff.assertSilent()
                late.assertSilent()
                other.send(4)
                assertEquals(4, other.receive())
                cut()
                assertEquals(2, cutOff.receive())
                assertEquals(3, late.receive())
            }
    }

    private companion object {
        /** Longest wait for a byte that must come (ms). */
        const val LONGEST_WAIT_MILLIS = 30_000

        /** How long a cut connection must stay silent (ms). */
        const val SILENCE_MILLIS = 500
    }
}
