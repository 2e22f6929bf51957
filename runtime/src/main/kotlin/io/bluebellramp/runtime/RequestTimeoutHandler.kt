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
 * Limits how long a request may take to arrive and how long a connection may be idle. It does not limit the wait for a response, so that
 * calls with a delayed response are not ended, and it has no effect on a connection that became a WebSocket.
 *
 * Its place in the pipeline is after the HTTP codec, which forwards headers only once they have arrived completely. A read that yields no
 * message while the connection is idle is therefore the first part of the headers of a request.
 */
internal class RequestTimeoutHandler(
    private val limits: ConnectionLimits,
) : ChannelDuplexHandler() {
    private var isReceivingRequest = false
    private var isUpgraded = false
    private var hasReadMessage = false

    /** Requests of which a part has arrived and whose response is not complete yet. */
    private var openRequests = 0
    private var timer: ScheduledFuture<*>? = null

    override fun handlerAdded(context: ChannelHandlerContext) = restartIdleTimer(context)

    override fun handlerRemoved(context: ChannelHandlerContext) = cancelTimer()

    override fun channelInactive(context: ChannelHandlerContext) {
        cancelTimer()
        context.fireChannelInactive()
    }

    override fun channelRead(
        context: ChannelHandlerContext,
        message: Any,
    ) {
        hasReadMessage = true
        if (message is HttpRequest) onRequestStarted(context)
        if (message is LastHttpContent) {
            isReceivingRequest = false
            restartIdleTimer(context)
        }
        context.fireChannelRead(message)
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!hasReadMessage) onRequestStarted(context)
        hasReadMessage = false
        context.fireChannelReadComplete()
    }

    override fun write(
        context: ChannelHandlerContext,
        message: Any,
        promise: ChannelPromise,
    ) {
        if (message is HttpResponse && message.status() == HttpResponseStatus.SWITCHING_PROTOCOLS) onUpgraded()
        if (message is LastHttpContent) {
            openRequests = maxOf(0, openRequests - 1)
            if (!isReceivingRequest) restartIdleTimer(context)
        }
        context.write(message, promise)
    }

    private fun onUpgraded() {
        isUpgraded = true
        cancelTimer()
    }

    private fun onRequestStarted(context: ChannelHandlerContext) {
        if (isReceivingRequest || isUpgraded) return
        isReceivingRequest = true
        openRequests++
        startTimer(context, limits.request) { onRequestTimeout(context) }
    }

    /** Cancels the current timer and starts the idle timer if no request is in progress. */
    private fun restartIdleTimer(context: ChannelHandlerContext) {
        cancelTimer()
        if (openRequests == 0 && !isUpgraded) startTimer(context, limits.idleTimeout) { context.close() }
    }

    private fun startTimer(
        context: ChannelHandlerContext,
        delay: Duration,
        action: () -> Unit,
    ) {
        cancelTimer()
        timer = context.executor().schedule(action, delay.inWholeMilliseconds, TimeUnit.MILLISECONDS)
    }

    private fun cancelTimer() {
        timer?.cancel(false)
        timer = null
    }

    /**
     * Closes the connection. Responds with 408 first, unless the client could take that for the response to an earlier request or for a
     * second response.
     */
    private fun onRequestTimeout(context: ChannelHandlerContext) {
        if (openRequests == 1) {
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
