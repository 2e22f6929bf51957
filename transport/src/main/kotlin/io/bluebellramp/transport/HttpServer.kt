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
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpServerCodec
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.tinylog.kotlin.Logger
import java.io.IOException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.nanoseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Limits of an [HttpServer] on requests and connections.
 *
 * @property maxHeaderBytes maximum size of the request line and of the headers
 * @property maxBodyBytes maximum size of a request body
 * @property requestTimeout maximum time from the first byte of a request to its last
 * @property idleTimeout maximum time between two requests on a connection
 * @property maxConnections maximum number of open connections; further ones are closed at once
 */
data class HttpLimits(
    val maxHeaderBytes: Int = 16_384,
    val maxBodyBytes: Int = 262_144,
    val requestTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
    val maxConnections: Int = 2_000,
)

/** Decides whether a connection is kept for further requests. */
fun interface ConnectionRetention {
    /**
     * Returns whether a connection that was opened [age] ago is kept after the reply that is about to be sent on it.
     *
     * @param draw random number from 0 to 1 that stays the same for the connection
     */
    fun keeps(
        age: Duration,
        draw: Double,
    ): Boolean
}

/**
 * An HTTP/1.1 server on [address] that runs on the event loop. Requests of one connection are handled one after the other.
 *
 * A request is handled after the loop has looked for input again. If its caller had closed the connection by then, it is dropped: a process that
 * was paused or is behind would otherwise work for callers that have gone elsewhere.
 *
 * @param retention decides which connections are closed after their reply although they could be kept
 */
class HttpServer(
    internal val loop: EventLoop,
    private val address: Address,
    private val limits: () -> HttpLimits,
    internal val retention: ConnectionRetention = ConnectionRetention { _, _ -> true },
    private val handler: HttpHandler,
) {
    private val connections = HashSet<HttpConnection>()

    /** True once [drain] was called: each connection is closed after its current reply. */
    internal var isDraining = false
        private set

    /** Starts to listen, and retries until the address is free. */
    fun start() {
        loop.listen(address.host, address.port, Initializer())
        loop.every(TIMEOUT_CHECK_PERIOD) { checkTimeouts() }
    }

    /** Closes connections that have no request in progress, and every other one after its current reply. */
    fun drain() {
        isDraining = true
        connections.toList().forEach { it.closeIfIdle() }
    }

    private fun checkTimeouts() {
        val now = System.nanoTime()
        connections.toList().forEach { it.checkTimeouts(now, limits()) }
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val currentLimits = limits()
            if (connections.size >= currentLimits.maxConnections) {
                channel.close()
                return
            }
            channel.config().isTcpNoDelay = true
            val connection = HttpConnection(this@HttpServer, handler)
            channel.pipeline().addLast(
                ReceiveTimer(connection),
                HttpServerCodec(currentLimits.maxHeaderBytes, currentLimits.maxHeaderBytes, MAX_CHUNK_BYTES),
                BodyAggregator(currentLimits.maxBodyBytes, connection),
                connection,
            )
        }
    }

    internal fun onConnectionOpened(connection: HttpConnection) = connections.add(connection)

    internal fun onConnectionClosed(connection: HttpConnection) = connections.remove(connection)

    private companion object {
        /** Maximum size of a body part that the codec emits at once. */
        const val MAX_CHUNK_BYTES = 65_536

        /** The timeouts of connections are seconds long, so checking them once a second is precise enough. */
        val TIMEOUT_CHECK_PERIOD = 1.seconds
    }
}

/** Joins the parts of a request. Refuses one whose body exceeds [maxBodyBytes], and skips the rest of it. */
private class BodyAggregator(
    private val maxBodyBytes: Int,
    private val connection: HttpConnection,
) : HttpObjectAggregator(maxBodyBytes, true) {
    override fun handleOversizedMessage(
        context: ChannelHandlerContext,
        oversized: HttpMessage,
    ) {
        val uri = (oversized as? HttpRequest)?.uri()
        Logger.info("Request for $uri refused: its body exceeds $maxBodyBytes bytes")
        connection.refuseBody("{\"error\":\"the body exceeds $maxBodyBytes bytes\"}")
    }
}

/** Records when the first byte of a request is received, before the request is complete. */
private class ReceiveTimer(
    private val connection: HttpConnection,
) : io.netty.channel.ChannelInboundHandlerAdapter() {
    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        connection.onBytesReceived()
        context.fireChannelRead(message)
    }
}

/** A connection. Each request waits until the one before it has its reply. */
internal class HttpConnection(
    private val server: HttpServer,
    private val handler: HttpHandler,
) : SimpleChannelInboundHandler<FullHttpRequest>() {
    private val pendingRequests = ArrayDeque<PendingRequest>()
    private var channel: Channel? = null
    private var current: Exchange? = null
    private var receivingSinceNanos: Long? = null
    private val openedAtNanos = System.nanoTime()
    private val draw = Random.nextDouble()
    private var idleSinceNanos = openedAtNanos

    /** True once a body was refused: the connection takes no further request. */
    private var isRefused = false

    /**
     * Answers a request that is too large. The connection is closed by its caller, or once a request would have timed out: closed at once, it would be
     * reset by the rest of the body before the caller has read the answer.
     */
    fun refuseBody(reason: String) {
        isRefused = true
        write(HttpResponse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE.code(), reason), keepAlive = true, announcesClose = true)
    }

    fun onBytesReceived() {
        if (receivingSinceNanos == null) receivingSinceNanos = System.nanoTime()
    }

    private val isIdle get() = current == null && receivingSinceNanos == null && pendingRequests.isEmpty()

    fun closeIfIdle() {
        if (isIdle) channel?.close()
    }

    fun checkTimeouts(
        now: Long,
        limits: HttpLimits,
    ) {
        val receivingSince = receivingSinceNanos
        val isOverdue = receivingSince != null && now - receivingSince > limits.requestTimeout.inWholeNanoseconds
        val isIdleTooLong = isIdle && now - idleSinceNanos > limits.idleTimeout.inWholeNanoseconds
        if (isOverdue && isRefused) channel?.close()
        if (isOverdue && current == null &&
            !isRefused
        ) {
            write(HttpResponse(HttpResponseStatus.REQUEST_TIMEOUT.code(), closes = true), keepAlive = false)
        }
        if (isIdleTooLong) channel?.close()
    }

    override fun channelActive(context: ChannelHandlerContext) {
        channel = context.channel()
        server.onConnectionOpened(this)
    }

    override fun channelRead0(
        context: ChannelHandlerContext,
        message: FullHttpRequest,
    ) {
        if (isRefused) return
        receivingSinceNanos = null
        if (!message.decoderResult().isSuccess) return rejectMalformed(message)
        if (pendingRequests.size >= MAX_PENDING_REQUESTS) {
            context.close()
            return
        }
        pendingRequests += PendingRequest(message.uri(), message.createCall(), HttpUtil.isKeepAlive(message))
        server.loop.afterPendingInput(::handleNext)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        server.onConnectionClosed(this)
        for (request in pendingRequests) Logger.info("Request for ${request.uri} dropped: its caller left before it was handled")
        pendingRequests.clear()
        current?.abandon()
        current = null
    }

    override fun exceptionCaught(
        context: ChannelHandlerContext,
        cause: Throwable,
    ) {
        if (cause !is IOException) Logger.warn("Connection from ${context.channel().remoteAddress()} closed: $cause")
        context.close()
    }

    private fun rejectMalformed(message: FullHttpRequest) {
        val cause = message.decoderResult().cause()
        val isTooLong = cause is io.netty.handler.codec.http.TooLongHttpHeaderException
        val status = if (isTooLong) HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE else HttpResponseStatus.BAD_REQUEST
        write(HttpResponse(status.code(), "{\"error\":\"the request cannot be read\"}", closes = true), keepAlive = false)
    }

    private fun handleNext() {
        if (current != null) return
        val request = pendingRequests.removeFirstOrNull() ?: return
        val exchange = Exchange(request.keepsAlive)
        current = exchange
        handler.handle(request.createCall(exchange))
    }

    private fun write(
        response: HttpResponse,
        keepAlive: Boolean,
        announcesClose: Boolean = false,
    ) {
        val open = channel ?: return
        val body = Unpooled.wrappedBuffer(response.body.encodeToByteArray())
        val fullResponse = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status), body)
        val headers = fullResponse.headers()
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        if (response.body.isNotEmpty()) headers.set(HttpHeaderNames.CONTENT_TYPE, response.contentType)
        response.headers.forEach { (name, value) -> headers.set(name, value) }
        val closes = response.closes || !keepAlive || server.isDraining
        if (closes || announcesClose) headers.set(HttpHeaderNames.CONNECTION, "close")
        val written = open.writeAndFlush(fullResponse)
        if (closes) written.addListener(ChannelFutureListener.CLOSE)
    }

    private inner class Exchange(
        private val keepsAlive: Boolean,
    ) : HttpExchange {
        override var isFinished = false
            private set
        override var onDisconnect: (() -> Unit)? = null

        override fun respond(response: HttpResponse) {
            if (isFinished) return
            isFinished = true
            current = null
            val now = System.nanoTime()
            idleSinceNanos = now
            // A request that has already arrived is still served here.
            val isKept =
                pendingRequests.isNotEmpty() || receivingSinceNanos != null ||
                    server.retention.keeps((now - openedAtNanos).nanoseconds, draw)
            write(response, keepsAlive && isKept)
            handleNext()
        }

        fun abandon() {
            if (isFinished) return
            isFinished = true
            onDisconnect?.invoke()
        }
    }

    private class PendingRequest(
        val uri: String,
        val createCall: (HttpExchange) -> HttpCall,
        val keepsAlive: Boolean,
    )

    /** Copies the needed data, since the buffers of this request are released after the read. */
    private fun FullHttpRequest.createCall(): (HttpExchange) -> HttpCall {
        val bodyBytes = ByteBufUtil.getBytes(content())
        val path = uri().substringBefore('?')
        val method = method().name()
        val messageHeaders = headers()
        return { HttpCall(method, path, bodyBytes, { name -> messageHeaders.get(name) }, it) }
    }

    private companion object {
        /** Requests that may wait on one connection behind the one in progress. */
        const val MAX_PENDING_REQUESTS = 16
    }
}
