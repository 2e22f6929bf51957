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

private const val HEAD = "POST /x HTTP/1.1\r\nContent-Length: 4\r\n"

/** Runs in the virtual time of an embedded channel. */
class RequestTimeLimitTest {
    private val limits = ConnectionLimits(request = 15.seconds, idle = 5.minutes)
    private val channel = channel()

    /** The time stands still before the handler sets its first timer. */
    private fun channel() =
        EmbeddedChannel().apply {
            freezeTime()
            pipeline().addLast(HttpServerCodec(), RequestTimeLimit(limits))
        }

    private fun receive(
        vararg texts: String,
        to: EmbeddedChannel = channel,
    ) = texts.forEach { to.writeInbound(Unpooled.copiedBuffer(it, Charsets.US_ASCII)) }

    private fun pass(
        time: Duration,
        channel: EmbeddedChannel = this.channel,
    ) {
        channel.advanceTimeBy(time.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        channel.runScheduledPendingTasks()
    }

    private fun sent(channel: EmbeddedChannel = this.channel) =
        generateSequence { channel.readOutbound<Any>() }.filterIsInstance<ByteBuf>().joinToString("") { it.toString(Charsets.US_ASCII) }

    private fun answer(channel: EmbeddedChannel = this.channel) =
        channel.writeOutbound(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.EMPTY_BUFFER))

    private fun assertTimedOut() {
        val text = sent()
        assertTrue(text.startsWith("HTTP/1.1 408 ") && "request_timeout" in text, text)
        assertFalse(channel.isOpen)
    }

    @Nested
    inner class `A request that trickles in` {
        private fun trickle(parts: List<String>) =
            parts.forEach {
                assertTrue(channel.isOpen)
                receive(it)
                pass(5.seconds)
            }

        @Test
        fun `is refused with 408 when its headers are not whole in time`() {
            trickle(listOf("POST /x", " HTTP/1.1\r\n", "Content-"))
            assertTimedOut()
        }

        @Test
        fun `is refused with 408 when its body is not whole in time`() {
            trickle(listOf("$HEAD\r\n", "a", "b"))
            assertTimedOut()
        }

        @Test
        fun `counts from its own first byte on a kept connection`() {
            receive("$HEAD\r\nbody")
            answer()
            pass(1.minutes)
            receive("POST")
            pass(14.seconds)
            assertTrue(channel.isOpen)
            sent()
            pass(1.seconds)
            assertTimedOut()
        }

        @Test
        fun `is cut without a word when that could be taken for another answer`() {
            val answered = channel()
            receive("$HEAD\r\nbody", "GET /y")
            receive("$HEAD\r\n", to = answered)
            answer(answered)
            listOf(channel, answered).forEach {
                pass(15.seconds, it)
                assertFalse("408" in sent(it))
                assertFalse(it.isOpen)
            }
        }
    }

    @Nested
    inner class `A connection` {
        @Test
        fun `is kept while an answer is held, and while it is a WebSocket`() {
            receive("$HEAD\r\nbody")
            pass(1.hours)
            assertTrue(channel.isOpen)
            channel.writeOutbound(DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SWITCHING_PROTOCOLS))
            pass(1.hours)
            assertTrue(channel.isOpen)
        }

        @Test
        fun `is closed when it is idle for long, before its first request or after an answer`() {
            val fresh = channel()
            receive("$HEAD\r\nbody")
            pass(1.hours)
            answer()
            listOf(fresh, channel).forEach {
                pass(limits.idle - 1.milliseconds, it)
                assertTrue(it.isOpen)
                pass(1.milliseconds, it)
                assertFalse(it.isOpen)
            }
        }
    }
}
