package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SystemClock
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.AgentSettings
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.Health
import io.bluebellramp.runtime.RunningProgram
import io.bluebellramp.runtime.SharedKey
import io.bluebellramp.runtime.createHttpClient
import io.bluebellramp.runtime.httpServer
import io.bluebellramp.runtime.logDecision
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.RoutingCall
import io.ktor.server.routing.delete
import io.ktor.server.routing.post
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeoutOrNull
import java.net.InetAddress
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val SERVER_STOP_GRACE_MILLIS = 100L
private const val SERVER_STOP_TIMEOUT_MILLIS = 1000L

/** Timeout for the TCP connection and WebSocket handshake with an entry. */
private val ENTRY_CONNECT_TIMEOUT = 5.seconds

/** Added to the task timeout when waiting for running work, and the time limit for closing the connections. */
private val SHUTDOWN_MARGIN = 1.seconds
private val DEFAULT_DRAIN_TIMEOUT = 30.seconds

/** The agent process: sockets, timers and logs around an [AgentCore], which only one coroutine uses. */
internal class AgentProgram(
    private val settings: AgentSettings,
    private val clock: Clock = SystemClock,
    registry: PrometheusRegistry = PrometheusRegistry(),
) : RunningProgram {
    private val options = AgentOptions(announcementTtl = settings.announcementLifeMillis.milliseconds)
    private val key = SharedKey.read(settings.keyFile, settings.listen.host)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val inputs = Channel<AgentInput>(Channel.UNLIMITED)
    private val metrics = AgentMetrics(registry)
    private val core = AgentCore(AgentHello(settings.agent, IncarnationId.create(), settings.site, settings.zone), clock, options)
    private val snapshots = MutableStateFlow(core.snapshot())
    private val targetClient = TargetClient(clock)
    private val entryClient = createHttpClient(key, connectTimeout = ENTRY_CONNECT_TIMEOUT)
    private val entryConnector = EntryConnector(settings.entries, entryClient, scope, metrics) { inputs.send(it) }
    private val server = httpServer(settings.listen, PermitHealth(), registry, key) { targetRoutes() }

    /** Starts the HTTP server and the coroutines that run the agent; the first tick connects to the entries. */
    fun start() {
        server.start(wait = false)
        scope.launch { for (input in inputs) step(input) }
        scope.launch {
            while (true) {
                inputs.send(AgentInput.Tick)
                delay(options.tickInterval)
            }
        }
    }

    override fun stop() {
        runBlocking {
            inputs.send(AgentInput.ShutdownRequested)
            val drainTimeout = (snapshots.value.taskTimeout ?: DEFAULT_DRAIN_TIMEOUT) + SHUTDOWN_MARGIN
            withTimeoutOrNull(drainTimeout) { snapshots.first { it.isDrained } }
            withTimeoutOrNull(SHUTDOWN_MARGIN) { entryConnector.close() }
        }
        server.stop(SERVER_STOP_GRACE_MILLIS, SERVER_STOP_TIMEOUT_MILLIS)
        scope.cancel()
        targetClient.close()
        entryClient.close()
    }

    private fun step(input: AgentInput) {
        core.step(input).forEach(::perform)
        if (input !is AgentInput.Tick && input !is AgentInput.ShutdownRequested) return
        val snapshot = core.snapshot()
        snapshots.value = snapshot
        metrics.update(snapshot)
        if (!snapshot.isDrained) entryConnector.connect(snapshot.entries)
    }

    private fun perform(action: AgentAction) {
        when (action) {
            is AgentAction.SendFrame -> entryConnector.send(action.connection, action.frame)
            is AgentAction.CallTarget -> scope.launch { callTarget(action) }
            is AgentAction.RecordDecision -> recordDecision(action)
            is AgentAction.CountDroppedOutcome -> metrics.countDroppedOutcome(action.reason)
        }
    }

    private suspend fun callTarget(action: AgentAction.CallTarget) {
        val callEnded = targetClient.call(action)
        if (callEnded.result == CallResult.Unknown(TargetClient.MISMATCHED_ANSWER)) metrics.countMismatchedAnswer()
        inputs.send(callEnded)
    }

    private fun recordDecision(action: AgentAction.RecordDecision) {
        metrics.countDecision(action.refusal)
        val reference = action.reference
        logDecision(
            Decision(
                kind = if (action.refusal == null) "start" else "refusal",
                reason = action.refusal?.reason ?: "permitted",
                fields =
                    mapOf(
                        "submission" to reference.submission,
                        "task" to reference.task,
                        "attempt" to reference.attempt,
                        "target" to (action.target?.value ?: "none"),
                        "zone" to settings.zone,
                        "agent" to settings.agent,
                        "revision" to action.revision,
                    ),
            ),
        )
    }

    private fun Route.targetRoutes() {
        post("/v1/target") {
            if (!isLocal(call)) return@post call.respond(HttpStatusCode.Forbidden)
            inputs.send(AgentInput.TargetAnnounced(call.receive()))
            call.respond(HttpStatusCode.OK)
        }
        delete("/v1/target") {
            if (!isLocal(call)) return@delete call.respond(HttpStatusCode.Forbidden)
            inputs.send(AgentInput.TargetLeft)
            call.respond(HttpStatusCode.OK)
        }
    }

    private fun isLocal(call: RoutingCall) = InetAddress.getByName(call.request.local.remoteAddress).isLoopbackAddress

    private inner class PermitHealth : Health {
        override fun isReady() = snapshots.value.permitState == PermitState.VALID
    }
}
