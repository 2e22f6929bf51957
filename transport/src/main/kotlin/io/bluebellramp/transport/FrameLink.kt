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
import kotlin.time.Duration

/** Is told what happens on a link. All functions are called on the event loop. */
interface LinkListener {
    /** The connection stands and frames may be sent. */
    fun onOpen(link: FrameLink) = Unit

    /** A frame came. */
    fun onFrame(
        link: FrameLink,
        text: String,
    )

    /** The connection is gone; called once, and only after [onOpen]. */
    fun onClosed(link: FrameLink) = Unit
}

/** A connection between two processes that carries text frames both ways, in order. Use it on the event loop only. */
class FrameLink internal constructor(
    private val channel: Channel,
    private val clock: Clock,
) {
    /** When the last frame came, or the link was opened. */
    var heardAt: Duration = clock.monotonic()
        internal set

    /** True until the connection is closed by either side. */
    val isOpen: Boolean get() = channel.isActive

    /** The IP number of the other side. */
    val remoteHost: String get() = (channel.remoteAddress() as? java.net.InetSocketAddress)?.hostString ?: "unknown"

    /** Sends [text]. A peer that reads nothing for long is cut off instead of filling the memory. */
    fun send(text: String) {
        if (!channel.isActive) return
        if ((channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0) > MOST_PENDING_BYTES) {
            Logger.warn("Link to $remoteHost closed: over $MOST_PENDING_BYTES bytes wait to be read there")
            close()
            return
        }
        channel.writeAndFlush(Unpooled.wrappedBuffer(text.encodeToByteArray()), channel.voidPromise())
    }

    /** Closes the connection. */
    fun close() {
        channel.close()
    }

    internal fun heard() {
        heardAt = clock.monotonic()
    }

    private companion object {
        /** Bytes that may wait for a slow peer; several full catalogs. */
        const val MOST_PENDING_BYTES = 8L * 1024 * 1024
    }
}

internal class FrameInitializer(
    private val clock: Clock,
    private val listener: LinkListener,
) : ChannelInitializer<SocketChannel>() {
    override fun initChannel(channel: SocketChannel) {
        channel.config().isTcpNoDelay = true
        channel.pipeline().addLast(
            LengthFieldBasedFrameDecoder(MOST_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
            LengthFieldPrepender(LENGTH_BYTES),
            FrameHandler(clock, listener),
        )
    }

    private companion object {
        const val LENGTH_BYTES = 4

        /** Largest frame: a catalog of some thousand queues (bytes). */
        const val MOST_FRAME_BYTES = 16 * 1024 * 1024
    }
}

private class FrameHandler(
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
        link.heard()
        listener.onFrame(link, message.toString(Charsets.UTF_8))
    }

    override fun channelInactive(context: ChannelHandlerContext) = listener.onClosed(link)

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause !is IOException) Logger.warn(cause, "Link to ${context.channel().remoteAddress()} closed")
        context.close()
    }
}
