package io.bluebellramp.runtime

import io.bluebellramp.core.Address
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.serialization.kotlinx.json.json
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.ApplicationCallPipeline
import io.ktor.server.application.install
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.netty.Netty
import io.ktor.server.netty.NettyApplicationEngine
import io.ktor.server.plugins.contentnegotiation.ContentNegotiation
import io.ktor.server.request.path
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import io.ktor.server.websocket.WebSockets
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** The health of a process, as it is reported to load balancers. */
interface Health {
    /** Returns whether the process can accept new work. */
    fun isReady(): Boolean
}

/** Paths that require no key: health, metrics and the API for callers and targets. */
private val unauthenticatedPaths = listOf("/live", "/ready", "/metrics", "/v1/jobs", "/v1/requests", "/v1/target")

/** Name of the HTTP codec in the Netty pipeline, as the Ktor engine sets it. */
private const val HTTP_CODEC_HANDLER = "codec"
private const val MAX_WEBSOCKET_FRAME_BYTES = 16L * 1024 * 1024

/**
 * Returns an HTTP server for [routes] with JSON bodies, WebSockets, `/live`, `/ready` and `/metrics`. The caller starts it.
 *
 * The server does not shut down on a signal by itself; stop it once all work in progress is done. The engine's own read timeout is not
 * used, because it also ends calls whose response is delayed; [RequestTimeoutHandler] limits only the time in which a request arrives.
 *
 * @param key if not null, all calls must carry it except those to health, metrics and the API for callers and targets
 * @param limits limits on connections and requests
 */
fun httpServer(
    listen: Address,
    health: Health,
    registry: PrometheusRegistry,
    key: SharedKey? = null,
    limits: ConnectionLimits = ConnectionLimits(),
    routes: Route.() -> Unit,
): EmbeddedServer<NettyApplicationEngine, NettyApplicationEngine.Configuration> {
    System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
    val connectionLimiter = ConnectionLimiter(limits.maxConnections)
    return embeddedServer(
        Netty,
        configure = {
            connector {
                host = listen.host
                port = listen.port
            }
            tcpKeepAlive = true
            maxHeaderSize = limits.headerBytes
            maxInitialLineLength = limits.maxRequestLineBytes
            channelPipelineConfig = {
                connectionLimiter.admit(channel())
                addAfter(HTTP_CODEC_HANDLER, "requestTimeLimit", RequestTimeoutHandler(limits))
            }
        },
    ) {
        install(ContentNegotiation) { json(WireJson) }
        install(WebSockets) { maxFrameSize = MAX_WEBSOCKET_FRAME_BYTES }
        if (key != null) {
            intercept(ApplicationCallPipeline.Plugins) {
                if (context.requiresKey() && !key.matches(context.request.headers[HttpHeaders.Authorization])) {
                    context.respond(HttpStatusCode.Unauthorized, ErrorBody(ErrorCode.UNAUTHORIZED, "The call carries no valid key."))
                    finish()
                }
            }
        }
        routing {
            get("/live") { call.respondText("true") }
            get("/ready") {
                val isReady = health.isReady()
                call.respondText(isReady.toString(), status = if (isReady) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable)
            }
            get("/metrics") { call.respondText(registry.text(), ContentType.parse(PrometheusTextFormatWriter.CONTENT_TYPE)) }
            routes()
        }
    }
}

private fun ApplicationCall.requiresKey() = unauthenticatedPaths.none { request.path() == it || request.path().startsWith("$it/") }
