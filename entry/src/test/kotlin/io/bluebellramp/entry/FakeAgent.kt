package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.AgentId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.WireJson
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.Permit
import io.bluebellramp.messages.PermitRequest
import io.bluebellramp.messages.TargetState
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskStatus
import io.bluebellramp.runtime.createHttpClient
import io.ktor.client.plugins.websocket.webSocket
import io.ktor.websocket.Frame
import io.ktor.websocket.WebSocketSession
import io.ktor.websocket.readText
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList

/**
 * An agent whose target answers each task with [run]. It grants credits for its slots and connections, and each credit again after its
 * task.
 */
internal class FakeAgent(
    private val entry: Address,
    private val name: String,
    private val slots: Int = 4,
    private val connections: Int = 8,
    private val run: suspend (Dispatch) -> TaskOutcome,
) {
    val permits = CopyOnWriteArrayList<Permit>()
    val frames = CopyOnWriteArrayList<EntryFrame>()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val http = createHttpClient()
    val incarnation = IncarnationId.create()

    fun start(): FakeAgent {
        scope.launch {
            while (!connect()) delay(RETRY_MILLIS)
        }
        return this
    }

    private suspend fun connect(): Boolean =
        try {
            http.webSocket("ws://$entry/agents") { serve() }
            true
        } catch (_: IOException) {
            false
        }

    private suspend fun WebSocketSession.serve() {
        reply(
            AgentFrame(
                hello = AgentHello(agent = AgentId(name), incarnation = incarnation, site = SiteId("vestland"), zone = ZoneId("bergen-a")),
                target = TargetState(target = TargetId(name), service = ServiceId("desk"), present = true),
                permitRequest = PermitRequest(sequence = 1, revision = Revision.ZERO),
                credits = Credits(slots = slots, connections = connections),
            ),
        )
        for (frame in incoming) {
            if (frame !is Frame.Text) continue
            val received = WireJson.decodeFromString(EntryFrame.serializer(), frame.readText())
            frames += received
            received.permit?.let { permits += it }
            received.dispatches.forEach { dispatch -> launch { finish(dispatch) } }
            val cancelled = received.cancels.map { TaskOutcome(it.submission, it.task, it.attempt, TaskStatus.RUNNING) }
            if (cancelled.isNotEmpty()) reply(AgentFrame(outcomes = cancelled))
        }
    }

    private suspend fun WebSocketSession.finish(dispatch: Dispatch) {
        val outcome = run(dispatch)
        val isTask = dispatch.kind == io.bluebellramp.messages.DispatchKind.TASK
        val credits = if (isTask) Credits(slots = 1) else Credits(connections = 1)
        reply(AgentFrame(outcomes = listOf(outcome), credits = credits))
    }

    private suspend fun WebSocketSession.reply(frame: AgentFrame) =
        send(Frame.Text(WireJson.encodeToString(AgentFrame.serializer(), frame)))

    fun stop() {
        scope.cancel()
        http.close()
    }

    private companion object {
        const val RETRY_MILLIS = 20L
    }
}

/** The outcome of a task that succeeded. */
internal fun Dispatch.done(result: String = "done $payload") =
    TaskOutcome(submission = submission, task = task, attempt = attempt, status = TaskStatus.DONE, result = result, ranMicros = 1_000)
