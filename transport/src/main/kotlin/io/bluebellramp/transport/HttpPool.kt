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
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** What came of an HTTP request. */
sealed interface HttpResult {
    /** An answer came whole. */
    data class Answered(
        val status: Int,
        val body: String,
    ) : HttpResult

    /** No answer came in time or the connection was lost. The request may have been carried out. */
    data object NoAnswer : HttpResult

    /** No connection could be made: the request was not sent. */
    data object NotSent : HttpResult
}

/**
 * Sends requests to one server over connections that are kept. Each request is sent once; a connection carries one at a time. A
 * connection whose answer is late is closed. Use it on the event loop only.
 */
class HttpPool(
    private val loop: EventLoop,
    private val address: Address,
) {
    private val idle = ArrayDeque<Connection>()
    private val open = HashSet<Connection>()
    private var isClosed = false

    /** Connections made so far. */
    var opened = 0L
        private set

    /** Posts [body] to [path] and calls [onResult] once, on the event loop. */
    fun post(
        path: String,
        body: String,
        headers: Map<String, String>,
        timeout: Duration,
        onResult: (HttpResult) -> Unit,
    ) {
        val request = Request(path, body, headers, onResult)
        loop.after(timeout) { request.expire() }
        val kept = idle.removeLastOrNull()
        if (kept != null) kept.send(request) else connect(request)
    }

    /** Closes all connections. Requests under way end without an answer. */
    fun close() {
        isClosed = true
        open.toList().forEach { it.channel.close() }
    }

    private fun connect(request: Request) {
        val connection = Connection()
        opened++
        Bootstrap()
            .group(loop.group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.config().isTcpNoDelay = true
                        channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(MOST_ANSWER_BYTES), connection)
                    }
                },
            ).connect(address.host, address.port)
            .addListener(
                ChannelFutureListener {
                    if (!it.isSuccess) return@ChannelFutureListener request.finish(HttpResult.NotSent)
                    connection.channel = it.channel()
                    open += connection
                    if (isClosed || request.isDone) connection.release() else connection.send(request)
                },
            )
    }

    private inner class Connection : SimpleChannelInboundHandler<FullHttpResponse>() {
        lateinit var channel: Channel
        private var current: Request? = null

        fun send(request: Request) {
            current = request
            request.connection = this
            val content = Unpooled.wrappedBuffer(request.body.encodeToByteArray())
            val message = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, request.path, content)
            val headers = message.headers()
            headers.set(HttpHeaderNames.HOST, address.value)
            headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json")
            headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes())
            request.headers.forEach { (name, value) -> headers.set(name, value) }
            channel.writeAndFlush(message, channel.voidPromise())
        }

        fun release() {
            if (isClosed) channel.close() else idle += this
        }

        override fun channelRead0(
            context: ChannelHandlerContext,
            message: FullHttpResponse,
        ) {
            val answered = current ?: return
            current = null
            val result = HttpResult.Answered(message.status().code(), message.content().toString(Charsets.UTF_8))
            if (HttpUtil.isKeepAlive(message)) release() else channel.close()
            answered.finish(result)
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            open -= this
            idle -= this
            val lost = current
            current = null
            lost?.finish(HttpResult.NoAnswer)
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
        private val onResult: (HttpResult) -> Unit,
    ) {
        var connection: Connection? = null
        var isDone = false
            private set

        fun finish(result: HttpResult) {
            if (isDone) return
            isDone = true
            onResult(result)
        }

        /** The connection is of no use after a late answer: the answer could be taken for that of another request. */
        fun expire() {
            if (isDone) return
            val used = connection
            finish(if (used == null) HttpResult.NotSent else HttpResult.NoAnswer)
            used?.channel?.close()
        }
    }

    private companion object {
        /** The target runs on the same VM or in the same zone. */
        val CONNECT_TIMEOUT = 500.milliseconds

        /** Largest answer (bytes); lists of several hundred ends. */
        const val MOST_ANSWER_BYTES = 1024 * 1024
    }
}
