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
 * Keeps a link to [address]: dials until the connection stands, and again whenever it is lost. Use it on the event loop only.
 *
 * A link without a frame for [silence] is closed, so each side has to send a frame more often than that.
 */
class FrameDialer(
    private val loop: EventLoop,
    private val clock: Clock,
    val address: Address,
    private val silence: Duration,
    private val listener: LinkListener,
) {
    private var isStopped = false
    private var failures = 0

    /** The link, or null while there is none. */
    var link: FrameLink? = null
        private set

    /** Starts to dial. */
    fun start() = dial()

    /** Closes the link if nothing was heard on it for too long. Call it several times in each [silence]. */
    fun check(now: Duration) {
        val open = link ?: return
        if (now - open.heardAt > silence) open.close()
    }

    /** Closes the link and dials no more. */
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
            .handler(FrameInitializer(clock, Tracker()))
            .connect(address.host, address.port)
            .addListener(ChannelFutureListener { if (!it.isSuccess) redial() })
    }

    private fun redial() = loop.after(if (failures++ < QUICK_REDIALS) QUICK_REDIAL_PERIOD else REDIAL_PERIOD, ::dial)

    private inner class Tracker : LinkListener {
        override fun onOpen(link: FrameLink) {
            if (isStopped) return link.close()
            this@FrameDialer.link = link
            failures = 0
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
        /** Well above the round trip between regions. */
        val CONNECT_TIMEOUT = 500.milliseconds

        /** After a loss and at the start: the other side is likely to start at the same time, and callers wait. */
        val QUICK_REDIAL_PERIOD = 40.milliseconds

        /** Covers a restart of the other process. */
        const val QUICK_REDIALS = 25

        /** Long against the cost of a refused connection. */
        val REDIAL_PERIOD = 200.milliseconds
    }
}
