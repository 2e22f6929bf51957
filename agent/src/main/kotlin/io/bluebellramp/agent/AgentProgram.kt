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
import io.bluebellramp.runtime.httpLink
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

private const val STOP_GRACE_MILLIS = 100L
private const val STOP_TIMEOUT_MILLIS = 1000L

/** Longest time of a TCP connection and WebSocket handshake with an entry. */
private val DIAL_TIME = 5.seconds
private val LEAVE_MARGIN = 1.seconds
private val DEFAULT_LEAVE_TIME = 30.seconds

/** The agent as a program: sockets, timers and logs around an [AgentCore], which one coroutine owns. */
internal class AgentProgram(
    private val settings: AgentSettings,
    private val clock: Clock = SystemClock,
    registry: PrometheusRegistry = PrometheusRegistry(),
) : RunningProgram {
    private val options = AgentOptions(announcementLife = settings.announcementLifeMillis.milliseconds)
    private val key = SharedKey.read(settings.keyFile, settings.listen.host)
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val inputs = Channel<AgentInput>(Channel.UNLIMITED)
    private val metrics = AgentMetrics(registry)
    private val core = AgentCore(AgentHello(settings.agent, IncarnationId.next(), settings.site, settings.zone), clock, options)
    private val views = MutableStateFlow(core.view())
    private val target = TargetLink(clock)
    private val entryClient = httpLink(key, connectTimeout = DIAL_TIME)
    private val links = EntryLinks(settings.entries, entryClient, scope, metrics) { inputs.send(it) }
    private val server = httpServer(settings.listen, PermitHealth(), registry, key) { announcements() }

    /** Listens and dials the entries. */
    fun start() {
        server.start(wait = false)
        scope.launch { for (input in inputs) step(input) }
        scope.launch {
            while (true) {
                inputs.send(AgentInput.Tick)
                delay(options.tick)
            }
        }
    }

    override fun stop() {
        runBlocking {
            inputs.send(AgentInput.Leave)
            val longest = (views.value.taskTime ?: DEFAULT_LEAVE_TIME) + LEAVE_MARGIN
            withTimeoutOrNull(longest) { views.first { it.isDrained } }
            withTimeoutOrNull(LEAVE_MARGIN) { links.close() }
        }
        server.stop(STOP_GRACE_MILLIS, STOP_TIMEOUT_MILLIS)
        scope.cancel()
        target.close()
        entryClient.close()
    }

    private fun step(input: AgentInput) {
        core.step(input).forEach(::perform)
        if (input !is AgentInput.Tick && input !is AgentInput.Leave) return
        val view = core.view()
        views.value = view
        metrics.show(view)
        if (!view.isDrained) links.dial(view.entries)
    }

    private fun perform(action: AgentAction) {
        when (action) {
            is AgentAction.Send -> links.send(action.connection, action.frame)
            is AgentAction.Start -> scope.launch { call(action) }
            is AgentAction.Decided -> decided(action)
            is AgentAction.Dropped -> metrics.dropped(action.reason)
        }
    }

    private suspend fun call(start: AgentAction.Start) {
        val ended = target.call(start)
        if (ended.result == CallResult.Unknown(TargetLink.CROSSED)) metrics.crossed()
        inputs.send(ended)
    }

    private fun decided(action: AgentAction.Decided) {
        metrics.decided(action.refusal)
        val reference = action.reference
        logDecision(
            Decision(
                kind = if (action.refusal == null) "start" else "refusal",
                reason = action.refusal?.wording ?: "permitted",
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

    private fun Route.announcements() {
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
        override fun isReady() = views.value.permit == PermitState.LIVE
    }
}
