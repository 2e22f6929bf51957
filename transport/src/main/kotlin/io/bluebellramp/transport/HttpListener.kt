package io.bluebellramp.transport

import io.bluebellramp.core.Address
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.tinylog.kotlin.Logger
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * What a listener takes from its callers.
 *
 * @property headerBytes largest head of a request
 * @property bodyBytes largest body of a request
 * @property arrival longest time from the first byte of a request to its last
 * @property idle longest time between two requests on a connection
 * @property connections open connections at most; one more is closed at once
 */
data class HttpLimits(
    val headerBytes: Int = 16_384,
    val bodyBytes: Int = 262_144,
    val arrival: Duration = 3.seconds,
    val idle: Duration = 15.seconds,
    val connections: Int = 2_000,
)

/** An HTTP/1.1 server at [address] on the event loop. Requests of one connection are handled one after the other. */
class HttpListener(
    private val loop: EventLoop,
    private val address: Address,
    private val limits: () -> HttpLimits,
    private val handler: HttpHandler,
) {
    private val connections = HashSet<HttpConnection>()

    /** True once [drain] was called: answers end their connections. */
    internal var isDraining = false
        private set

    /** Starts to listen, now or as soon as the address can be used. */
    fun start() {
        loop.listen(address.host, address.port, Initializer())
        loop.every(CHECK_PERIOD) { checkTimes() }
    }

    /** Ends connections without a request under way, and every other one after its answer. */
    fun drain() {
        isDraining = true
        connections.toList().forEach { it.closeIfIdle() }
    }

    private fun checkTimes() {
        val now = System.nanoTime()
        connections.toList().forEach { it.checkTimes(now, limits()) }
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val bounds = limits()
            if (connections.size >= bounds.connections) {
                channel.close()
                return
            }
            channel.config().isTcpNoDelay = true
            val connection = HttpConnection(this@HttpListener, handler)
            channel.pipeline().addLast(
                ArrivalTimer(connection),
                HttpServerCodec(bounds.headerBytes, bounds.headerBytes, CHUNK_BYTES),
                HttpObjectAggregator(bounds.bodyBytes, true),
                connection,
            )
        }
    }

    internal fun opened(connection: HttpConnection) = connections.add(connection)

    internal fun closed(connection: HttpConnection) = connections.remove(connection)

    private companion object {
        /** Part of a body that is decoded at once (bytes). */
        const val CHUNK_BYTES = 65_536

        /** How often the time limits of connections are looked at; they are in seconds. */
        val CHECK_PERIOD = 1.seconds
    }
}

/** Notes when bytes of a request that is not whole yet came. */
private class ArrivalTimer(
    private val connection: HttpConnection,
) : io.netty.channel.ChannelInboundHandlerAdapter() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        connection.bytesCame()
        context.fireChannelRead(message)
    }
}

/** One connection: its requests wait for the answers of those before them. */
internal class HttpConnection(
    private val listener: HttpListener,
    private val handler: HttpHandler,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private val waiting = ArrayDeque<Waiting>()
    private var channel: Channel? = null
    private var current: Exchange? = null
    private var arrivingSince: Long? = null
    private var idleSince = System.nanoTime()

    fun bytesCame() {
        if (arrivingSince == null) arrivingSince = System.nanoTime()
    }

    fun closeIfIdle() {
        if (current == null && arrivingSince == null) channel?.close()
    }

    fun checkTimes(
        now: Long,
        limits: HttpLimits,
    ) {
        val arriving = arrivingSince
        val isSlow = arriving != null && now - arriving > limits.arrival.inWholeNanoseconds
        val isIdle = current == null && arriving == null && now - idleSince > limits.idle.inWholeNanoseconds
        if (isSlow && current == null) write(HttpAnswer(HttpResponseStatus.REQUEST_TIMEOUT.code(), closes = true), keepAlive = false)
        if (isIdle) channel?.close()
    }

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        listener.opened(this)
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: FullHttpRequest,
    ) {
        arrivingSince = null
        if (!message.decoderResult().isSuccess) return refuseUnreadable(message)
        if (waiting.size >= MOST_WAITING) {
            context.close()
            return
        }
        waiting += Waiting(message.call(), HttpUtil.isKeepAlive(message))
        next()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        listener.closed(this)
        waiting.clear()
        current?.leave()
        current = null
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause !is IOException) Logger.warn("Connection of ${context.channel().remoteAddress()} closed: $cause")
        context.close()
    }

    private fun refuseUnreadable(message: FullHttpRequest) {
        val cause = message.decoderResult().cause()
        val isTooLong = cause is io.netty.handler.codec.http.TooLongHttpHeaderException
        val status = if (isTooLong) HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else HttpResponseStatus.BAD_REQUEST
        write(HttpAnswer(status.code(), "{\"error\":\"the request cannot be read\"}", closes = true), keepAlive = false)
    }

    private fun next() {
        if (current != null) return
        val request = waiting.removeFirstOrNull() ?: return
        val exchange = Exchange(request.keepsAlive)
        current = exchange
        handler.handle(request.toCall(exchange))
    }

    private fun write(
        answer: HttpAnswer,
        keepAlive: Boolean,
    ) {
        val open = channel ?: return
        val body = Unpooled.wrappedBuffer(answer.body.encodeToByteArray())
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status), body)
        val headers = response.headers()
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        if (answer.body.isNotEmpty()) headers.set(HttpHeaderNames.CONTENT_TYPE, answer.contentType)
        answer.headers.forEach { (name, value) -> headers.set(name, value) }
        val closes = answer.closes || !keepAlive || listener.isDraining
        if (closes) headers.set(HttpHeaderNames.CONNECTION, "close")
        val written = open.writeAndFlush(response)
        if (closes) written.addListener(ChannelFutureListener.CLOSE)
    }

    private inner class Exchange(
        private val keepsAlive: Boolean,
    ) : HttpExchange {
        override var isOver = false
            private set
        override var gone: (() -> Unit)? = null

        override fun answer(answer: HttpAnswer) {
            if (isOver) return
            isOver = true
            current = null
            idleSince = System.nanoTime()
            write(answer, keepsAlive)
            next()
        }

        fun leave() {
            if (isOver) return
            isOver = true
            gone?.invoke()
        }
    }

    private class Waiting(
        val toCall: (HttpExchange) -> HttpCall,
        val keepsAlive: Boolean,
    )

    /** Copies what is needed, since the buffers of [this] are released when the read ends. */
    private fun FullHttpRequest.call(): (HttpExchange) -> HttpCall {
        val bytes = ByteBufUtil.getBytes(content())
        val path = uri().substringBefore('?')
        val method = method().name()
        val head = headers()
        return { HttpCall(method, path, bytes, { name -> head.get(name) }, it) }
    }

    private companion object {
        /** Requests that may wait on one connection behind the one under way. */
        const val MOST_WAITING = 16
    }
}
