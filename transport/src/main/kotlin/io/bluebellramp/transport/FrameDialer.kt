package io.bluebellramp.transport

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.netty.bootstrap.Bootstrap
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Keeps a link to [address] open: connects, and reconnects whenever the link is lost. Confined to the event loop.
 *
 * A link that receives no frame for [silence] is closed, so each side has to send frames more often than that.
 */
class FrameDialer(
    private val loop: EventLoop,
    private val clock: Clock,
    val address: Address,
    private val silence: Duration,
    private val listener: LinkListener,
) {
    private var isStopped = false
    private var failedAttempts = 0

    /** The open link, or null while disconnected. */
    var link: FrameLink? = null
        private set

    /** Starts to connect. */
    fun start() = dial()

    /** Closes the link if no frame was received for [silence]. Call it several times in each such interval. */
    fun closeIfSilent(now: Duration) {
        link?.closeIfSilent(silence, now)
    }

    /** Closes the link and does not reconnect. */
    fun stop() {
        isStopped = true
        link?.close()
    }

    private fun dial() {
        if (isStopped) return
        Bootstrap()
            .group(loop.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .handler(FrameChannelInitializer(clock, ReconnectingListener()))
            .connect(address.host, address.port)
            .addListener(ChannelFutureListener { if (!it.isSuccess) redial() })
    }

    private fun redial() = loop.after(if (failedAttempts++ < MAX_QUICK_REDIALS) QUICK_REDIAL_PERIOD else REDIAL_PERIOD, ::dial)

    private inner class ReconnectingListener : LinkListener {
        override fun onOpen(link: FrameLink) {
            if (isStopped) return link.close()
            this@FrameDialer.link = link
            failedAttempts = 0
            listener.onOpen(link)
        }

        override fun onFrame(
            link: FrameLink,
            text: String,
        ) = listener.onFrame(link, text)

        override fun onClosed(link: FrameLink) {
            if (this@FrameDialer.link == null) return
            this@FrameDialer.link = null
            listener.onClosed(link)
            redial()
        }
    }

    private companion object {
        /** Well above the round-trip time between regions. */
        val CONNECT_TIMEOUT = 500.milliseconds

        /** Used at the start and after a loss, when the other process is probably just starting and callers are waiting. */
        val QUICK_REDIAL_PERIOD = 40.milliseconds

        /** Attempts at the short period; enough to cover a restart of the other process. */
        const val MAX_QUICK_REDIALS = 25

        /** Long enough that the cost of refused connections is negligible. */
        val REDIAL_PERIOD = 200.milliseconds
    }
}
