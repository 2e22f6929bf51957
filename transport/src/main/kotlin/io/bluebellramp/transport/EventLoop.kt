package io.bluebellramp.transport

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import org.tinylog.kotlin.Logger
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The one thread on which a process reads, decides and writes, so that its state needs no locks.
 *
 * Use it for programs whose VM has about one core. Tasks must not block.
 */
class EventLoop : AutoCloseable {
    internal val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()

    /** Runs [task] on the loop, soon. */
    fun execute(task: () -> Unit) = loop.execute { guarded(task) }

    /** Runs [task] on the loop after [delay]. */
    fun after(
        delay: Duration,
        task: () -> Unit,
    ) {
        loop.schedule({ guarded(task) }, delay.inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    /** Runs [task] on the loop every [period], for as long as the loop lives. */
    fun every(
        period: Duration,
        task: () -> Unit,
    ) {
        loop.scheduleWithFixedDelay({ guarded(task) }, period.inWholeMicroseconds, period.inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    /** Listens at [host]:[port], again and again until the address can be used: a former process may hold it for a moment. */
    internal fun listen(
        host: String,
        port: Int,
        initializer: ChannelInitializer<SocketChannel>,
    ) {
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .childHandler(initializer)
            .bind(host, port)
            .addListener(
                ChannelFutureListener {
                    if (it.isSuccess) return@ChannelFutureListener
                    Logger.error("Cannot listen at $host:$port: ${it.cause()}")
                    after(LISTEN_AGAIN) { listen(host, port, initializer) }
                },
            )
    }

    override fun close() {
        group.shutdownGracefully(QUIET_MILLIS, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** A repeated task that throws would never run again. */
    private fun guarded(task: () -> Unit) =
        try {
            task()
        } catch (e: Exception) {
            Logger.error(e, "A task of the event loop failed")
        }

    private companion object {
        init {
            // Netty would look at every network interface and start the management beans for ids of channels that nobody reads.
            if (System.getProperty("io.netty.machineId") == null) System.setProperty("io.netty.machineId", "00:00:00:00:00:00")
            if (System.getProperty("io.netty.processId") == null) System.setProperty("io.netty.processId", "1")
        }

        /** Without a quiet time the loop may end in the round in which it is told to, and leave its sockets open (ms). */
        const val QUIET_MILLIS = 1L

        /** Longest time to end open tasks (ms). */
        const val SHUTDOWN_MILLIS = 200L

        /** Connections that may wait to be accepted; every process of a large deployment may dial at once. */
        const val BACKLOG = 1024
        val LISTEN_AGAIN = 200.milliseconds
    }
}
