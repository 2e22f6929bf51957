package io.bluebellramp.runtime

import io.netty.channel.Channel
import java.util.concurrent.atomic.AtomicInteger

/**
 * Limits the number of open connections of one server.
 *
 * @property maxConnections highest number of connections at the same time
 */
internal class ConnectionLimiter(
    private val maxConnections: Int,
) {
    private val openConnections = AtomicInteger()

    /** Counts [channel] until it closes. Closes it immediately if there are too many connections. */
    fun admit(channel: Channel) {
        val isOverLimit = openConnections.incrementAndGet() > maxConnections
        channel.closeFuture().addListener { openConnections.decrementAndGet() }
        if (isOverLimit) channel.close()
    }
}
