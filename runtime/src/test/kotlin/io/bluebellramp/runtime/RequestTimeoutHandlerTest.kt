package io.bluebellramp.runtime

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpVersion
import org.junit.jupiter.api.Nested
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private const val REQUEST_HEAD = "POST /x HTTP/1.1\r\nContent-Length: 4\r\n"

/** Tests [RequestTimeoutHandler] in the virtual time of an embedded channel. */
class RequestTimeoutHandlerTest {
    private val limits = ConnectionLimits(request = 15.seconds, idleTimeout = 5.minutes)
    private val channel = channel()

    /** Returns a channel whose time is frozen before the handler starts its first timer. */
    private fun channel() =
        EmbeddedChannel().apply {
            freezeTime()
            pipeline().addLast(HttpServerCodec(), RequestTimeoutHandler(limits))
        }

    private fun receive(
        vararg texts: String,
        to: EmbeddedChannel = channel,
    ) = texts.forEach { to.writeInbound(Unpooled.copiedBuffer(it, Charsets.US_ASCII)) }

    private fun advanceTime(
        time: Duration,
        channel: EmbeddedChannel = this.channel,
    ) {
        channel.advanceTimeBy(time.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    private fun readSent(channel: EmbeddedChannel = this.channel) =
        generateSequence { channel.readOutbound<Any>() }.filterIsInstance<ByteBuf>().joinToString("") { it.toString(Charsets.US_ASCII) }

    private fun respond(channel: EmbeddedChannel = this.channel) =
        channel.writeOutbound(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER))

    private fun assertTimedOut() {
        val text = readSent()
        assertTrue(text.startsWith("HTTP/1.1 408 ") && "request_timeout" in text, text)
        assertFalse(channel.isOpen)
    }

    @Nested
    inner class `A request that arrives slowly` {
        private fun sendSlowly(parts: List<String>) =
            parts.forEach {
                assertTrue(channel.isOpen)
                receive(it)
                advanceTime(5.seconds)
            }

        @Test
        fun `gets 408 when its headers are not complete in time`() {
            sendSlowly(listOf("POST /x", " HTTP/1.1\r\n", "Content-"))
            assertTimedOut()
        }

        @Test
        fun `gets 408 when its body is not complete in time`() {
            sendSlowly(listOf("$REQUEST_HEAD\r\n", "a", "b"))
            assertTimedOut()
        }

        @Test
        fun `is timed from its own first byte on a reused connection`() {
            receive("$REQUEST_HEAD\r\nbody")
            respond()
            advanceTime(1.minutes)
            receive("POST")
            advanceTime(14.seconds)
            assertTrue(channel.isOpen)
            readSent()
            advanceTime(1.seconds)
            assertTimedOut()
        }

        @Test
        fun `is closed without a response when a 408 could be taken for the response to another request`() {
            val responded = channel()
            receive("$REQUEST_HEAD\r\nbody", "GET /y")
            receive("$REQUEST_HEAD\r\n", to = responded)
            respond(responded)
            listOf(channel, responded).forEach {
                advanceTime(15.seconds, it)
                assertFalse("408" in readSent(it))
                assertFalse(it.isOpen)
            }
        }
    }

    @Nested
    inner class `A connection` {
        @Test
        fun `stays open while a response is pending, and while it is a WebSocket`() {
            receive("$REQUEST_HEAD\r\nbody")
            advanceTime(1.hours)
            assertTrue(channel.isOpen)
            channel.writeOutbound(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SWITCHING_PROTOCOLS))
            advanceTime(1.hours)
            assertTrue(channel.isOpen)
        }

        @Test
        fun `is closed when it is idle for too long before its first request or after a response`() {
            val fresh = channel()
            receive("$REQUEST_HEAD\r\nbody")
            advanceTime(1.hours)
            respond()
            listOf(fresh, channel).forEach {
                advanceTime(limits.idleTimeout - 1.milliseconds, it)
                assertTrue(it.isOpen)
                advanceTime(1.milliseconds, it)
                assertFalse(it.isOpen)
            }
        }
    }
}
