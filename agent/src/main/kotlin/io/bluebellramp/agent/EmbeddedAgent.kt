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

/** Runs tasks and requests inside this process instead of at a separate target. */
fun interface TaskRunner {
    /** Runs [call] and returns its result. Any exception is reported as a failure of the task. */
    suspend fun run(call: TargetCall): String
}

/** Resources that the embedded agents of one process share. */
class EmbeddedAgentContext(
    internal val client: HttpClient,
    internal val scope: CoroutineScope,
    internal val clock: Clock,
    registry: PrometheusRegistry = PrometheusRegistry(),
) {
    internal val metrics = AgentMetrics(registry)
}

/**
 * An agent without a server of its own, whose target is a [TaskRunner] in the same process.
 *
 * It makes the same decisions and exchanges the same frames as the agent program.
 */
class EmbeddedAgent(
    hello: AgentHello,
    private val target: TargetAnnouncement,
    entries: List<Address>,
    private val shared: EmbeddedAgentContext,
    private val runner: TaskRunner,
) {
    private val options = AgentOptions()
    private val inputs = Channel<AgentInput>(Channel.UNLIMITED)
    private val core = AgentCore(hello, shared.clock, options)
    private val snapshots = MutableStateFlow(core.snapshot())
    private val entryConnector = EntryConnector(entries, shared.client, shared.scope, shared.metrics) { inputs.send(it) }

    /** Whether the permit allowed tasks to start at the last tick. */
    val hasValidPermit: Boolean get() = snapshots.value.permitState == PermitState.VALID

    /** Connects to the entries and announces the target. */
    fun start() {
        shared.scope.launch { for (input in inputs) step(input) }
        shared.scope.launch {
            while (true) {
                inputs.send(AgentInput.TargetAnnounced(target))
                repeat(TICKS_PER_ANNOUNCEMENT) {
                    inputs.send(AgentInput.Tick)
                    delay(options.tickInterval)
                }
            }
        }
    }

    /** Refuses new work, waits up to [timeout] for running work, then closes the connections, again for up to [timeout]. */
    suspend fun shutDown(timeout: Duration) {
        inputs.send(AgentInput.ShutdownRequested)
        withTimeoutOrNull(timeout) { snapshots.first { it.isDrained } }
        withTimeoutOrNull(timeout) { entryConnector.close() }
    }

    private fun step(input: AgentInput) {
        core.step(input).forEach(::perform)
        if (input !is AgentInput.Tick && input !is AgentInput.ShutdownRequested) return
        val snapshot = core.snapshot()
        snapshots.value = snapshot
        if (!snapshot.isDrained) entryConnector.connect(snapshot.entries)
    }

    private fun perform(action: AgentAction) {
        when (action) {
            is AgentAction.SendFrame -> entryConnector.send(action.connection, action.frame)
            is AgentAction.CallTarget -> shared.scope.launch { callTarget(action) }
            is AgentAction.RecordDecision -> shared.metrics.countDecision(action.refusal)
            is AgentAction.CountDroppedOutcome -> shared.metrics.countDroppedOutcome(action.reason)
        }
    }

    private suspend fun callTarget(action: AgentAction.CallTarget) {
        val call = action.call
        val began = shared.clock.monotonic()
        val result = if (began >= action.sendDeadline) CallResult.NotSent("permit_ran_out") else runWithTimeout(action)
        val reference = TaskReference(call.submission, call.task, call.attempt)
        inputs.send(AgentInput.CallEnded(reference, result, duration = shared.clock.monotonic() - began))
    }

    private suspend fun runWithTimeout(action: AgentAction.CallTarget): CallResult {
        val result = withTimeoutOrNull(action.timeout) { runCatching { runner.run(action.call) } } ?: return CallResult.Unknown("timeout")
        return result.fold(
            onSuccess = { CallResult.Done(it) },
            onFailure = { CallResult.Failed(it.message ?: it.javaClass.simpleName) },
        )
    }

    private companion object {
        /** With the default tick interval the target is announced every 500 ms, as a separate target does. */
        const val TICKS_PER_ANNOUNCEMENT = 10
    }
}
