package io.bluebellramp.transport

import io.bluebellramp.core.Address
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseDecoder
import io.netty.handler.codec.http.HttpUtil
import java.util.concurrent.Future
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** The outcome of an HTTP request. */
sealed interface HttpResult {
    /** A complete response was received. */
    data class Response(
        val status: Int,
        val body: String,
    ) : HttpResult

    /** No response was received in time, or the connection was lost. The server may have processed the request. */
    data object NoResponse : HttpResult

    /** No connection was established, so the request was not sent. */
    data object NotSent : HttpResult
}

/**
 * Sends requests to one server over persistent connections. Requests are never retried. A connection carries one request at a time and is
 * closed if the response is late. A response that arrived while the process was busy is read before its request is given up. Confined to
 * the event loop.
 */
class HttpConnectionPool(
    private val loop: EventLoop,
    private val address: Address,
) {
    private val idleConnections = ArrayDeque<Connection>()
    private val openConnections = HashSet<Connection>()
    private var isClosed = false

    /** Number of connection attempts since the start. */
    var connectionsOpened = 0L
        private set

    /** Posts [body] to [path] and calls [onResult] once, on the event loop. [timeout] counts for the connection and for the response. */
    fun post(
        path: String,
        body: String,
        headers: Map<String, String>,
        timeout: Duration,
        onResult: (HttpResult) -> Unit,
    ) {
        val request = Request(path, body, headers, timeout, onResult)
        request.startTimer(timeout)
        val reused = idleConnections.removeLastOrNull()
        if (reused != null) reused.send(request) else connect(request)
    }

    /** Closes all connections. Requests in progress end with [HttpResult.NoResponse]. */
    fun close() {
        isClosed = true
        openConnections.toList().forEach { it.channel.close() }
    }

    private fun connect(request: Request) {
        val connection = Connection()
        connectionsOpened++
        Bootstrap()
            .group(loop.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.config().isTcpNoDelay = true
                        channel.pipeline().addLast(HttpResponseDecoder(), HttpObjectAggregator(MAX_RESPONSE_BYTES), connection)
                    }
                },
            ).connect(address.host, address.port)
            .addListener(
                ChannelFutureListener {
                    if (!it.isSuccess) return@ChannelFutureListener request.finish(HttpResult.NotSent)
                    connection.channel = it.channel()
                    openConnections += connection
                    if (isClosed || request.isDone) connection.returnToPool() else connection.send(request)
                },
            )
    }

    private fun encode(request: Request): ByteArray {
        val body = request.body.encodeToByteArray()
        val head = StringBuilder(INITIAL_HEAD_CHARACTERS)
        head
            .append("POST ")
            .append(request.path)
            .append(" HTTP/1.1\r\nhost: ")
            .append(address.value)
        head.append("\r\ncontent-type: application/json\r\ncontent-length: ").append(body.size)
        for ((name, value) in request.headers) {
            // Anything else could end the header early.
            require(value.all { it in VISIBLE_ASCII }) { "the value of the header $name has a character that a header must not have" }
            head
                .append("\r\n")
                .append(name)
                .append(": ")
                .append(value)
        }
        return head.append("\r\n\r\n").toString().encodeToByteArray() + body
    }

    private inner class Connection : SimpleChannelInboundHandler<FullHttpResponse>() {
        lateinit var channel: Channel
        private var current: Request? = null

        fun send(request: Request) {
            current = request
            request.sentOn(this)
            channel.writeAndFlush(Unpooled.wrappedBuffer(encode(request)), channel.voidPromise())
        }

        fun returnToPool() {
            if (isClosed) channel.close() else idleConnections += this
        }

        override fun channelRead0(
            context: ChannelHandlerContext,
            message: FullHttpResponse,
        ) {
            val finished = current ?: return
            current = null
            val result = HttpResult.Response(message.status().code(), message.content().toString(Charsets.UTF_8))
            if (HttpUtil.isKeepAlive(message)) returnToPool() else channel.close()
            finished.finish(result)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            openConnections -= this
            idleConnections -= this
            val unanswered = current
            current = null
            unanswered?.finish(HttpResult.NoResponse)
        }

        override fun exceptionCaught(
            context: ChannelHandlerContext,
            cause: Throwable,
        ) {
            context.close()
        }
    }

    private inner class Request(
        val path: String,
        val body: String,
        val headers: Map<String, String>,
        private val timeout: Duration,
        private val onResult: (HttpResult) -> Unit,
    ) {
        private var connection: Connection? = null
        private var timer: Future<*>? = null
        private var sentAtNanos = 0L
        var isDone = false
            private set

        fun sentOn(connection: Connection) {
            this.connection = connection
            sentAtNanos = System.nanoTime()
        }

        /** After [time], input that has arrived is processed first. */
        fun startTimer(time: Duration) {
            val check = Runnable { loop.afterPendingInput { timeOut() } }
            timer = loop.group.next().schedule(check, time.inWholeMicroseconds, TimeUnit.MICROSECONDS)
        }

        fun finish(result: HttpResult) {
            if (isDone) return
            isDone = true
            // Otherwise the loop would wake up for each request a second time.
            timer?.cancel(false)
            onResult(result)
        }

        /** Closes the connection, since a late response could be mistaken for that of the next request. */
        private fun timeOut() {
            if (isDone) return
            val ownConnection = connection ?: return finish(HttpResult.NotSent)
            val left = timeout - (System.nanoTime() - sentAtNanos).nanoseconds
            if (left > Duration.ZERO) return startTimer(left)
            finish(HttpResult.NoResponse)
            ownConnection.channel.close()
        }
    }

    private companion object {
        /** The target runs on the same VM or in the same zone. */
        val CONNECT_TIMEOUT = 500.milliseconds

        /** What the value of a header may consist of. */
        val VISIBLE_ASCII = ' '..'~'
        const val INITIAL_HEAD_CHARACTERS = 256

        /** Holds a listing of several hundred ended runs. */
        const val MAX_RESPONSE_BYTES = 1024 * 1024
    }
}
