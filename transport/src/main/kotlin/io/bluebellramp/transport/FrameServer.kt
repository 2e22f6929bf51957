package io.bluebellramp.transport

import io.bluebellramp.core.Clock

/** Takes links from other processes at [host]:[port]. */
class FrameServer(
    private val loop: EventLoop,
    private val clock: Clock,
    private val host: String,
    private val port: Int,
    private val listener: LinkListener,
) {
    /** Starts to listen, now or as soon as the address can be used. */
    fun start() = loop.listen(host, port, FrameInitializer(clock, listener))
}
