package io.bluebellramp.transport

import io.bluebellramp.core.Address
import io.bluebellramp.core.SystemClock
import org.junit.jupiter.api.AfterEach
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.seconds

class FrameLinkTest {
    private val loop = EventLoop()
    private val address = Address("127.0.0.1:${ServerSocket(0).use { it.localPort }}")
    private val events = LinkedBlockingQueue<String>()

    @AfterEach
    fun close() = loop.close()

    private inner class Recorder(
        private val name: String,
        private val onOpen: (FrameLink) -> Unit = {},
    ) : LinkListener {
        override fun onOpen(link: FrameLink) = onOpen.invoke(link)

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) {
            events += "$name $text"
            if (text == "close") link.close()
        }

        override fun onClosed(link: FrameLink) {
            events += "$name closed"
        }
    }

    private fun next() = events.poll(10, TimeUnit.SECONDS)

    @Test
    fun `a dialer that starts before its server reaches it, and again after the link is lost`() {
        val dialer = FrameDialer(loop, SystemClock, address, 5.seconds, Recorder("dialer") { it.send("hello") })
        loop.execute { dialer.start() }
        FrameServer(loop, SystemClock, address.host, address.port, Recorder("server") { it.send("close") }).start()
        val seen = List(6) { next() }
        assertEquals(2, seen.count { it == "dialer close" }, "$seen")
        assertEquals(2, seen.count { it == "server hello" }, "$seen")
    }
}
