package io.bluebellramp.transport

import io.bluebellramp.core.Clock
import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.ChannelInitializer
import io.netty.channel.socket.SocketChannel
import org.tinylog.kotlin.Logger
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/** The text of a frame without content. */
const val EMPTY_FRAME = "{}"

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

    /** Number of frames received. */
    var receivedFrames = 0L
        private set

    /** When the last frame was sent, or when the link was opened if there was none. */
    var lastSentAt: Duration = lastReceivedAt
        private set

    /** True until the connection is closed by either side. */
    val isOpen: Boolean get() = channel.isActive

    /** The IP address of the peer. */
    val remoteHost: String get() = (channel.remoteAddress() as? java.net.InetSocketAddress)?.hostString ?: "unknown"

    /** Sends [text]. Closes the link instead if the peer reads so slowly that unsent data would fill the memory. */
    fun send(text: String) {
        if (text == EMPTY_FRAME) return send(emptyFrame)
        if (!prepareSend()) return
        val body = text.encodeToByteArray()
        // Header and body in one direct buffer take a single write, and no copy by the socket.
        write(channel.alloc().directBuffer(FrameFormat.HEADER_BYTES + body.size).also { FrameFormat.write(body, it) })
    }

    /** Sends [frame] like a text. */
    fun send(frame: SharedFrame) {
        if (prepareSend()) write(frame.buffer.retainedDuplicate())
    }

    /** Returns whether a frame may be sent now. */
    private fun prepareSend(): Boolean {
        if (!channel.isActive) return false
        if ((channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0) > MAX_PENDING_WRITE_BYTES) {
            Logger.warn("Link to $remoteHost closed: more than $MAX_PENDING_WRITE_BYTES bytes are waiting for the peer to read them")
            close()
            return false
        }
        return true
    }

    private fun write(frame: ByteBuf) {
        lastSentAt = clock.monotonic()
        channel.writeAndFlush(frame, channel.voidPromise())
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
        receivedFrames++
        lastReceivedAt = clock.monotonic()
    }

    private companion object {
        /** Unsent bytes that may be buffered for a slow peer; holds several full catalogs. */
        const val MAX_PENDING_WRITE_BYTES = 8L * 1024 * 1024
        val emptyFrame = SharedFrame(EMPTY_FRAME)
    }
}

internal class FrameChannelInitializer(
    private val clock: Clock,
    private val listener: LinkListener,
) : ChannelInitializer<SocketChannel>() {
    override fun initChannel(channel: SocketChannel) {
        channel.config().isTcpNoDelay = true
        channel.pipeline().addLast(FrameChannelHandler(clock, listener))
    }
}

private class FrameChannelHandler(
    private val clock: Clock,
    private val listener: LinkListener,
) : ChannelInboundHandlerAdapter() {
    private val reader = FrameReader()
    private lateinit var link: FrameLink

    override fun channelActive(context: ChannelHandlerContext) {
        link = FrameLink(context.channel(), clock)
        listener.onOpen(link)
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        if (message !is ByteBuf) return super.channelRead(context, message)
        reader.read(context.alloc(), message) { text ->
            link.recordReceipt()
            try {
                listener.onFrame(link, text)
            } catch (e: Exception) {
                exceptionCaught(context, e)
            }
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        reader.release()
        listener.onClosed(link)
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause !is IOException) Logger.warn(cause, "Link to ${context.channel().remoteAddress()} closed after an error")
        context.close()
    }
}
