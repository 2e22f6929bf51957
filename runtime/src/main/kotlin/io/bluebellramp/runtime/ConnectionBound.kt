package io.bluebellramp.runtime

import io.netty.channel.Channel
import java.util.concurrent.atomic.AtomicInteger

/**
 * Bounds the number of open connections of one server.
 *
 * @property most most connections at once
 */
internal class ConnectionBound(
    private val most: Int,
) {
    private val open = AtomicInteger()

    /** Counts [channel] until it closes, or closes it at once if there are too many. */
    fun admit(channel: Channel) {
        val isOver = open.incrementAndGet() > most
        channel.closeFuture().addListener { open.decrementAndGet() }
        if (isOver) channel.close()
    }
}
