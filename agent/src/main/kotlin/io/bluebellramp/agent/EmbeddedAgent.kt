package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.Clock
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.messages.TaskReference
import io.ktor.client.HttpClient
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration

/** Runs tasks and requests inside this process, in place of a target. */
fun interface TaskRunner {
    /** Runs [call] and returns its result. An exception fails the task. */
    suspend fun run(call: TargetCall): String
}

/** What many embedded agents of one process share. */
class EmbeddedAgents(
    internal val client: HttpClient,
    internal val scope: CoroutineScope,
    internal val clock: Clock,
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    internal val metrics = AgentMetrics(registry)
}

/**
 * An agent without a listener of its own, whose target is a [TaskRunner] of the same process.
 *
 * It makes the same decisions and speaks the same frames as the agent program.
 */
class EmbeddedAgent(
    hello: AgentHello,
    private val target: TargetAnnouncement,
    entries: List<Address>,
    private val shared: EmbeddedAgents,
    private val runner: TaskRunner,
) {
    private val options = AgentOptions()
    private val inputs = Channel<AgentInput>(Channel.UNLIMITED)
    private val core = AgentCore(hello, shared.clock, options)
    private val views = MutableStateFlow(core.view())
    private val links = EntryLinks(entries, shared.client, shared.scope, shared.metrics) { inputs.send(it) }

    /** Whether tasks may start as of the last tick. */
    val isPermitted: Boolean get() = views.value.permit == PermitState.LIVE

    /** Dials the entries and announces the target. */
    fun start() {
        shared.scope.launch { for (input in inputs) step(input) }
        shared.scope.launch {
            while (true) {
                inputs.send(AgentInput.TargetAnnounced(target))
                repeat(TICKS_PER_ANNOUNCEMENT) {
                    inputs.send(AgentInput.Tick)
                    delay(options.tick)
                }
            }
        }
    }

    /** Takes no more work, waits up to [longest] for what runs and closes the connections. */
    suspend fun leave(longest: Duration) {
        inputs.send(AgentInput.Leave)
        withTimeoutOrNull(longest) { views.first { it.isDrained } }
        withTimeoutOrNull(longest) { links.close() }
    }

    private fun step(input: AgentInput) {
        core.step(input).forEach(::perform)
        if (input !is AgentInput.Tick && input !is AgentInput.Leave) return
        val view = core.view()
        views.value = view
        if (!view.isDrained) links.dial(view.entries)
    }

    private fun perform(action: AgentAction) {
        when (action) {
            is AgentAction.Send -> links.send(action.connection, action.frame)
            is AgentAction.Start -> shared.scope.launch { call(action) }
            is AgentAction.Decided -> shared.metrics.decided(action.refusal)
            is AgentAction.Dropped -> shared.metrics.dropped(action.reason)
        }
    }

    private suspend fun call(start: AgentAction.Start) {
        val call = start.call
        val began = shared.clock.monotonic()
        val result = if (began >= start.before) CallResult.NotSent("permit_ran_out") else bounded(start)
        val reference = TaskReference(call.submission, call.task, call.attempt)
        inputs.send(AgentInput.CallEnded(reference, result, ran = shared.clock.monotonic() - began))
    }

    private suspend fun bounded(start: AgentAction.Start): CallResult {
        val result = withTimeoutOrNull(start.timeout) { runCatching { runner.run(start.call) } } ?: return CallResult.Unknown("timeout")
        return result.fold(
            onSuccess = { CallResult.Done(it) },
            onFailure = { CallResult.Failed(it.message ?: it.javaClass.simpleName) },
        )
    }

    private companion object {
        /** A target announces itself every 500 ms. */
        const val TICKS_PER_ANNOUNCEMENT = 10
    }
}
