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
 * The single thread that does all network I/O and processing of a process, so that its state needs no locks.
 *
 * Suits programs whose VM has about one core. Tasks must not block.
 */
class EventLoop : AutoCloseable {
    internal val group: EventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val loop = group.next()

    /** Queues [task] to run on the loop. */
    fun execute(task: () -> Unit) = loop.execute { runLogged(task) }

    /** Runs [task] on the loop after [delay]. */
    fun after(
        delay: Duration,
        task: () -> Unit,
    ) {
        loop.schedule({ runLogged(task) }, delay.inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    /**
     * Runs [task] after the loop has looked for input again, so that what had arrived by now is processed before it. A timer that is set while
     * input is read would run before the next look, hence the two steps.
     */
    fun afterPendingInput(task: () -> Unit) = execute { after(Duration.ZERO, task) }

    /** Runs [task] on the loop repeatedly, with a pause of [period] between runs, until the loop is closed. */
    fun every(
        period: Duration,
        task: () -> Unit,
    ) {
        loop.scheduleWithFixedDelay({ runLogged(task) }, period.inWholeMicroseconds, period.inWholeMicroseconds, TimeUnit.MICROSECONDS)
    }

    /** Listens on [host]:[port]. Retries until the bind succeeds, since a previous process may still hold the address for a moment. */
    internal fun listen(
        host: String,
        port: Int,
        initializer: ChannelInitializer<SocketChannel>,
    ) {
        ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel::class.java)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG_CONNECTIONS)
            .childHandler(initializer)
            .bind(host, port)
            .addListener(
                ChannelFutureListener {
                    if (it.isSuccess) return@ChannelFutureListener
                    Logger.error("Cannot listen on $host:$port; will try again: ${it.cause()}")
                    after(BIND_RETRY_PERIOD) { listen(host, port, initializer) }
                },
            )
    }

    override fun close() {
        group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Runs [task] and logs what it throws, errors too, since the executor cancels a repeated task that throws. */
    private fun runLogged(task: () -> Unit) =
        try {
            task()
        } catch (e: Throwable) {
            Logger.error(e, "Task on the event loop failed")
        }

    private companion object {
        init {
            // To build channel ids, which are unused here, Netty would inspect every network interface and start the management beans.
            if (System.getProperty("io.netty.machineId") == null) System.setProperty("io.netty.machineId", "00:00:00:00:00:00")
            if (System.getProperty("io.netty.processId") == null) System.setProperty("io.netty.processId", "1")
        }

        /** Without a quiet period the loop may end in the iteration in which shutdown is requested, and leave its sockets open. */
        const val SHUTDOWN_QUIET_PERIOD_MILLIS = 1L

        /** Maximum time to finish open tasks. */
        const val SHUTDOWN_TIMEOUT_MILLIS = 200L

        /** Connections that may wait to be accepted. Every process of a large deployment may connect at once. */
        const val ACCEPT_BACKLOG_CONNECTIONS = 1024
        val BIND_RETRY_PERIOD = 200.milliseconds
    }
}
