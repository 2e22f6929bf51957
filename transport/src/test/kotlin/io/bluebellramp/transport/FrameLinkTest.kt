package io.bluebellramp.transport

import io.bluebellramp.core.Address
import io.bluebellramp.core.SystemClock
import org.junit.jupiter.api.AfterEach
import java.net.ServerSocket
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class FrameLinkTest {
    private val loop = EventLoop()
    private val address = Address("127.0.0.1:${ServerSocket(0).use { it.localPort }}")
    private val events = LinkedBlockingQueue<String>()

    @AfterEach
    fun close() = loop.close()

    private inner class RecordingListener(
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

    private fun nextEvent() = events.poll(10, TimeUnit.SECONDS)

    @Test
    fun `a dialer connects to a server that starts later, and reconnects after the link is lost`() {
        val dialer = FrameDialer(loop, SystemClock, address, 5.seconds, RecordingListener("dialer") { it.send("hello") })
        loop.execute { dialer.start() }
        FrameServer(loop, SystemClock, address.host, address.port, RecordingListener("server") { it.send("close") }).start()
        val received = List(6) { nextEvent() }
        assertEquals(2, received.count { it == "dialer close" }, "$received")
        assertEquals(2, received.count { it == "server hello" }, "$received")
    }

    @Test
    fun `a frame that is shared by several links arrives on each, and its memory is freed when all have sent it`() {
        val frame = SharedFrame("shared ".padEnd(100_000, 'x'))
        val opened = ArrayList<FrameLink>()
        val server = RecordingListener("server") { opened += it }
        FrameServer(loop, SystemClock, address.host, address.port, server).start()
        val dialers = List(3) { FrameDialer(loop, SystemClock, address, 5.seconds, RecordingListener("dialer")) }
        loop.execute { dialers.forEach { it.start() } }
        loop.every(10.milliseconds) {
            if (opened.size < dialers.size) return@every
            opened.forEach { it.send(frame) }
            opened.clear()
            frame.release()
        }
        assertEquals(List(3) { "dialer ".length + 100_000 }, List(3) { nextEvent()?.length })
        repeat(100) { if (frame.buffer.refCnt() > 0) Thread.sleep(20) }
        assertEquals(0, frame.buffer.refCnt())
    }

    @Test
    fun `a link whose frames arrived while the process was busy is not taken for a silent one`() {
        val serverLoop = EventLoop()
        val silence = 250.milliseconds
        val beats =
            object : LinkListener {
                override fun onOpen(link: FrameLink) {
                    serverLoop.every(50.milliseconds) { link.send("beat") }
                    serverLoop.after(200.milliseconds) { link.send("stall") }
                    serverLoop.after(1.seconds) { link.send("end") }
                }

                override fun onFrame(
                    link: FrameLink,
                    text: String,
                ) = Unit
            }
        val busyListener =
            object : LinkListener {
                override fun onFrame(
                    link: FrameLink,
                    text: String,
                ) {
                    if (text == "stall") Thread.sleep(silence.inWholeMilliseconds * 2)
                    if (text == "end") events += text
                }

                override fun onClosed(link: FrameLink) {
                    events += "closed"
                }
            }
        FrameServer(serverLoop, SystemClock, address.host, address.port, beats).start()
        val dialer = FrameDialer(loop, SystemClock, address, silence, busyListener)
        loop.execute { dialer.start() }
        loop.every(10.milliseconds) { dialer.closeIfSilent(SystemClock.monotonic()) }
        assertEquals("end", nextEvent())
        serverLoop.close()
    }

    @Test
    fun `a silent link is closed`() {
        val dialer = FrameDialer(loop, SystemClock, address, 100.milliseconds, RecordingListener("dialer"))
        FrameServer(loop, SystemClock, address.host, address.port, RecordingListener("server")).start()
        loop.execute { dialer.start() }
        loop.every(10.milliseconds) { dialer.closeIfSilent(SystemClock.monotonic()) }
        assertEquals(setOf("dialer closed", "server closed"), setOf(nextEvent(), nextEvent()))
    }
}
