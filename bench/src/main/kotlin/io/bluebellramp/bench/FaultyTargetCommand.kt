package io.bluebellramp.bench

import io.bluebellramp.core.Address
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.runtime.ExitCode
import io.bluebellramp.runtime.Health
import io.bluebellramp.runtime.createHttpClient
import io.bluebellramp.runtime.httpServer
import io.ktor.client.request.delete
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.server.request.receive
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.post
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.cli.ArgType
import kotlinx.cli.default
import kotlinx.cli.required

/** Runs a proxy between a sample target and its agent that slows down or fails every task. */
internal class FaultyTargetCommand : BenchCommand("faulty-target", "Relay to a sample target that becomes slow or fails every task") {
    private val listen by option(ArgType.String, "listen", description = "Address to listen on; the agent of the sample target").required()
    private val agent by option(ArgType.String, "agent", description = "Address of the agent").required()
    private val target by option(ArgType.String, "target", description = "Address of the sample target").required()
    private val slowFactor by option(ArgType.Int, "slow-factor", description = "Factor on the run time of each task").default(1)
    private val failMillis by option(
        ArgType.Int,
        "fail-millis",
        description = "Time after which every task fails (ms); -1 for none fails",
    ).default(-1)

    override fun run(): Int {
        val fault = if (failMillis >= 0) PayloadFault.Failing(failMillis) else PayloadFault.Slow(slowFactor)
        FaultyTarget(Address(listen), Address(agent), Address(target), fault).run()
        return ExitCode.OK
    }
}

/** Fault that the proxy injects by rewriting the payload of each task. */
internal sealed interface PayloadFault {
    /** Returns the payload to send to the target instead of [payload]. */
    fun apply(payload: String): String

    /** Every task fails after [millis] milliseconds. */
    data class Failing(
        val millis: Int,
    ) : PayloadFault {
        override fun apply(payload: String) = "fail:$millis"
    }

    /** Every task runs [factor] times as long. */
    data class Slow(
        val factor: Int,
    ) : PayloadFault {
        override fun apply(payload: String) = SLEEP_STEP.replace(payload) { "sleep:${it.groupValues[1].toLong() * factor}" }
    }

    private companion object {
        val SLEEP_STEP = Regex("sleep:([0-9]+)")
    }
}

/** Proxy at [listen] between the [agent] and a sample [target]. The target announces itself to the proxy instead of the agent. */
internal class FaultyTarget(
    private val listen: Address,
    private val agent: Address,
    private val target: Address,
    private val fault: PayloadFault,
) {
    private val client = createHttpClient()

    /** Starts the server and blocks until it stops. */
    fun run() {
        httpServer(listen, AlwaysReady, PrometheusRegistry()) { routes() }.start(wait = true)
    }

    private fun Route.routes() {
        post("/run") {
            val task = call.receive<TargetCall>()
            call.forward(post("http://$target/run", WireJson.encodeToString(task.copy(payload = fault.apply(task.payload)))))
        }
        post("/v1/target") {
            val announcement = call.receive<TargetAnnouncement>()
            call.forward(post("http://$agent/v1/target", WireJson.encodeToString(announcement.copy(address = listen))))
        }
        delete("/v1/target") { call.forward(client.delete("http://$agent/v1/target")) }
    }

    private suspend fun post(
        url: String,
        body: String,
    ): HttpResponse =
        client.post(url) {
            contentType(ContentType.Application.Json)
            setBody(body)
        }

    private suspend fun RoutingCall.forward(response: HttpResponse) =
        respondText(response.bodyAsText(), ContentType.Application.Json, response.status)

    private object AlwaysReady : Health {
        override fun isReady() = true
    }
}
