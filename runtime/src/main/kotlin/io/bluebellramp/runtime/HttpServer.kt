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

/** Tells a balancer whether the process is well. */
interface Health {
    /** True while the process can take work. */
    fun isReady(): Boolean
}

/** Paths that need no key: health, metrics and the callers' API. */
private val openPaths = listOf("/live", "/ready", "/metrics", "/v1/jobs", "/v1/requests", "/v1/target")

/** The name that the engine gives its HTTP codec. */
private const val CODEC = "codec"
private const val MAX_FRAME_BYTES = 16L * 1024 * 1024

/**
 * Returns an HTTP server for [routes] with JSON bodies, WebSockets, `/live`, `/ready` and `/metrics`. It is not started.
 *
 * The server cuts nothing by itself on a signal; stop it when all work in flight is done. The engine's own read timeout is off, since it
 * also cuts calls whose answer is held; [RequestTimeLimit] bounds only the arrival of a request.
 *
 * @param key if not null, calls other than to health, metrics and the callers' API must carry it
 * @param limits what callers may use of the server
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
    val connections = ConnectionBound(limits.connections)
    return embeddedServer(
        Netty,
        configure = {
            connector {
                host = listen.host
                port = listen.port
            }
            tcpKeepAlive = true
            maxHeaderSize = limits.headerBytes
            maxInitialLineLength = limits.requestLineBytes
            channelPipelineConfig = {
                connections.admit(channel())
                addAfter(CODEC, "requestTimeLimit", RequestTimeLimit(limits))
            }
        },
    ) {
        install(ContentNegotiation) { json(WireJson) }
        install(WebSockets) { maxFrameSize = MAX_FRAME_BYTES }
        if (key != null) {
            intercept(ApplicationCallPipeline.Plugins) {
                if (context.needsKey() && !key.matches(context.request.headers[HttpHeaders.Authorization])) {
                    context.respond(HttpStatusCode.Unauthorized, ErrorBody(ErrorCode.UNAUTHORIZED, "The call carries no valid key."))
                    finish()
                }
            }
        }
        routing {
            get("/live") { call.respondText("true") }
            get("/ready") {
                val ready = health.isReady()
                call.respondText(ready.toString(), status = if (ready) HttpStatusCode.OK else HttpStatusCode.ServiceUnavailable)
            }
            get("/metrics") { call.respondText(registry.text(), ContentType.parse(PrometheusTextFormatWriter.CONTENT_TYPE)) }
            routes()
        }
    }
}

private fun ApplicationCall.needsKey() = openPaths.none { request.path() == it || request.path().startsWith("$it/") }
