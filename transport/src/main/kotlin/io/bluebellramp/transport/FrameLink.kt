package io.bluebellramp.transport

import io.bluebellramp.core.Clock
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.LengthFieldBasedFrameDecoder
import io.netty.handler.codec.LengthFieldPrepender
import org.tinylog.kotlin.Logger
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** Receives the events of a link. All functions are called on the event loop. */
interface LinkListener {
    /** The connection is open and frames may be sent. */
    fun onOpen(link: FrameLink) = Unit

    /** A frame was received. */
    fun onFrame(
        link: FrameLink,
        text: String,
    )

    /** The connection is closed. Called once, and only after [onOpen]. */
    fun onClosed(link: FrameLink) = Unit
}

/** A connection between two processes that carries text frames in both directions, in order. Confined to the event loop. */
class FrameLink internal constructor(
    private val channel: Channel,
    private val clock: Clock,
) {
    /** When the last frame was received, or when the link was opened if there was none. */
    var lastReceivedAt: Duration = clock.monotonic()
        internal set

    /** When the last frame was sent, or when the link was opened if there was none. */
    var lastSentAt: Duration = lastReceivedAt
        private set

    /** True until the connection is closed by either side. */
    val isOpen: Boolean get() = channel.isActive

    /** The IP address of the peer. */
    val remoteHost: String get() = (channel.remoteAddress() as? java.net.InetSocketAddress)?.hostString ?: "unknown"

    /** Sends [text]. Closes the link instead if the peer reads so slowly that unsent data would fill the memory. */
    fun send(text: String) = send { Unpooled.wrappedBuffer(text.encodeToByteArray()) }

    /** Sends [frame] like a text. */
    fun send(frame: SharedFrame) = send { frame.buffer.retainedDuplicate() }

    private fun send(message: () -> ByteBuf) {
        if (!channel.isActive) return
        if ((channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0) > MAX_PENDING_WRITE_BYTES) {
            Logger.warn("Link to $remoteHost closed: more than $MAX_PENDING_WRITE_BYTES bytes are waiting for the peer to read them")
            close()
            return
        }
        lastSentAt = clock.monotonic()
        channel.writeAndFlush(message(), channel.voidPromise())
    }

    /** Closes the connection if no frame was received for [timeout]. Frames that arrived while the process was busy are read first. */
    fun closeIfSilent(
        timeout: Duration,
        now: Duration,
    ) {
        if (now - lastReceivedAt <= timeout) return
        // A new timer runs only after the loop has looked for input again.
        channel.eventLoop().schedule({ if (clock.monotonic() - lastReceivedAt > timeout) close() }, 0, TimeUnit.NANOSECONDS)
    }

    /** Closes the connection. */
    fun close() {
        channel.close()
    }

    internal fun recordReceipt() {
        lastReceivedAt = clock.monotonic()
    }

    private companion object {
        /** Unsent bytes that may be buffered for a slow peer; holds several full catalogs. */
        const val MAX_PENDING_WRITE_BYTES = 8L * 1024 * 1024
    }
}

internal class FrameChannelInitializer(
    private val clock: Clock,
    private val listener: LinkListener,
) : ChannelInitializer<SocketChannel>() {
    override fun initChannel(channel: SocketChannel) {
        channel.config().isTcpNoDelay = true
        channel.pipeline().addLast(
            LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES),
            LengthFieldPrepender(LENGTH_FIELD_BYTES),
            FrameChannelHandler(clock, listener),
        )
    }

    private companion object {
        const val LENGTH_FIELD_BYTES = 4

        /** Holds a catalog of several thousand queues. */
        const val MAX_FRAME_BYTES = 16 * 1024 * 1024
    }
}

private class FrameChannelHandler(
    private val clock: Clock,
    private val listener: LinkListener,
) : SimpleChannelInboundHandler<ByteBuf>() {
    private lateinit var link: FrameLink

    override fun channelActive(context: ChannelHandlerContext) {
        link = FrameLink(context.channel(), clock)
        listener.onOpen(link)
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: ByteBuf,
    ) {
        link.recordReceipt()
        listener.onFrame(link, message.toString(Charsets.UTF_8))
    }

    override fun channelInactive(context: ChannelHandlerContext) = listener.onClosed(link)

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause !is IOException) Logger.warn(cause, "Link to ${context.channel().remoteAddress()} closed after an error")
        context.close()
    }
}
