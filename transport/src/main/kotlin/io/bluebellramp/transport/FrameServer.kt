package io.bluebellramp.transport

import io.bluebellramp.core.Clock

/** Accepts links from other processes on [host]:[port]. */
class FrameServer(
    private val loop: EventLoop,
    private val clock: Clock,
    private val host: String,
    private val port: Int,
    private val listener: LinkListener,
) {
    /** Starts to listen, and retries until the address is free. */
    fun start() = loop.listen(host, port, FrameChannelInitializer(clock, listener))
}
