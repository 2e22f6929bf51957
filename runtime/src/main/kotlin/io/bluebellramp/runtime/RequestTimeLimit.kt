package io.bluebellramp.runtime

import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.concurrent.ScheduledFuture
import java.util.concurrent.TimeUnit
import kotlin.time.Duration

/**
 * Bounds how long a request may take to arrive and how long a connection may be idle. It never bounds the wait for a response, so calls
 * whose answer is held are not cut, and it takes no part in a connection that became a WebSocket.
 *
 * It stands after the HTTP codec, which passes on no part of a header that is not whole. A read that yields no message while the
 * connection is idle is therefore the first part of a header.
 */
internal class RequestTimeLimit(
    private val limits: ConnectionLimits,
) : ChannelDuplexHandler() {
    private var isArriving = false
    private var isUpgraded = false
    private var hasRead = false
    private var unanswered = 0
    private var timer: ScheduledFuture<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) = restart(context)

    override fun handlerRemoved(context: ChannelHandlerContext) = stop()

    override fun channelInactive(context: ChannelHandlerContext) {
        stop()
        context.fireChannelInactive()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        hasRead = true
        if (message is HttpRequest) arrive(context)
        if (message is LastHttpContent) {
            isArriving = false
            restart(context)
        }
        context.fireChannelRead(message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!hasRead) arrive(context)
        hasRead = false
        context.fireChannelReadComplete()
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (message is HttpResponse && message.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) upgrade()
        if (message is LastHttpContent) {
            unanswered = maxOf(0, unanswered - 1)
            if (!isArriving) restart(context)
        }
        context.write(message, promise)
    }

    private fun upgrade() {
        isUpgraded = true
        stop()
    }

    private fun arrive(context: ChannelHandlerContext) {
        if (isArriving || isUpgraded) return
        isArriving = true
        unanswered++
        start(context, limits.request) { refuse(context) }
    }

    /** Bounds the idle time if nothing is under way. */
    private fun restart(context: ChannelHandlerContext) {
        stop()
        if (unanswered == 0 && !isUpgraded) start(context, limits.idle) { context.close() }
    }

    private fun start(
        context: ChannelHandlerContext,
        time: Duration,
        action: () -> Unit,
    ) {
        stop()
        timer = context.executor().schedule(action, time.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun stop() {
        timer?.cancel(false)
        timer = null
    }

    /** Says why, unless the response could be taken for the one to an earlier request or for a second one. */
    private fun refuse(context: ChannelHandlerContext) {
        if (unanswered == 1) {
            context.writeAndFlush(timeoutResponse()).addListener(ChannelFutureListener.CLOSE)
        } else {
            context.close()
        }
    }

    private fun timeoutResponse(): HttpResponse {
        val error = ErrorBody(ErrorCode.REQUEST_TIMEOUT, "The request was not whole within ${limits.request}.")
        val body = WireJson.encodeToString(ErrorBody.serializer(), error).toByteArray()
        val response =
            DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.REQUEST_TIMEOUT, Unpooled.wrappedBuffer(body))
        response
            .headers()
            .set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
            .set(HttpHeaderNames.CONTENT_LENGTH, body.size)
            .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        return response
    }
}
