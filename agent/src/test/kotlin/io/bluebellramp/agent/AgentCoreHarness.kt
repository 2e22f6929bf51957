package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.AgentId
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.SiteId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AgentHello
import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.Demand
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.EntryHello
import io.bluebellramp.messages.Permit
import io.bluebellramp.messages.PermitRequest
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskReference
import io.bluebellramp.placement.RoundRobinGrantPolicy
import kotlin.time.Duration

/** Feeds events to an [AgentCore] and records the actions that it returns. */
internal class AgentCoreHarness(
    private val slots: Int = 2,
    private val connections: Int = 6,
) {
    private val incarnation = IncarnationId("a.1")
    private var submissions = 0L
    val clock = ManualClock()
    val core =
        AgentCore(
            AgentHello(AgentId("a1"), incarnation, SiteId("s1"), ZoneId("z1")),
            clock,
            AgentOptions(prefetch = 1),
            RoundRobinGrantPolicy(),
        )
    val starts = ArrayList<TaskReference>()
    val frames = ArrayList<Pair<Long, AgentFrame>>()
    val dropped = ArrayList<DropReason>()

    init {
        announce()
    }

    fun announce() = step(AgentInput.TargetAnnounced(TargetAnnouncement(TargetId("t1"), ServiceId("render"), Address("127.0.0.1:1"))))

    fun step(input: AgentInput) =
        core.step(input).forEach {
            when (it) {
                is AgentAction.SendFrame -> frames += it.connection.value to it.frame
                is AgentAction.CallTarget -> starts += TaskReference(it.call.submission, it.call.task, it.call.attempt)
                is AgentAction.CountDroppedOutcome -> dropped += it.reason
                is AgentAction.RecordDecision -> Unit
            }
        }

    fun connect(
        connection: Long,
        entry: String = "e1",
        entryIncarnation: String = "run1",
    ) {
        step(AgentInput.ConnectionOpened(ConnectionId(connection)))
        receive(connection, EntryFrame(hello = EntryHello(EntryId(entry), IncarnationId(entryIncarnation))))
    }

    fun close(connection: Long) = step(AgentInput.ConnectionClosed(ConnectionId(connection)))

    fun receive(
        connection: Long,
        frame: EntryFrame,
    ) = step(AgentInput.FrameReceived(ConnectionId(connection), frame))

    /** Answers the last permit request. */
    fun grantPermit(
        revision: Long = 1,
        inService: Boolean = true,
        validMillis: Long = 2000,
    ) {
        val (connection, request) = checkNotNull(lastPermitRequest())
        receive(
            connection,
            EntryFrame(
                permit =
                    Permit(request.sequence, Revision(revision), validMillis, inService, slots, connections, 5000, emptyList()),
            ),
        )
    }

    fun reportDemand(
        connection: Long,
        tasks: Int,
    ) = receive(connection, EntryFrame(demand = Demand(tasks, tasks)))

    fun dispatch(
        connection: Long,
        kind: DispatchKind = DispatchKind.TASK,
    ): TaskReference {
        val reference = TaskReference(SubmissionId.create(clock.wall(), high = 0, low = ++submissions), task = 0, attempt = 0)
        receive(connection, EntryFrame(dispatches = listOf(createDispatch(reference, kind))))
        return reference
    }

    fun createDispatch(
        reference: TaskReference,
        kind: DispatchKind = DispatchKind.TASK,
    ) = Dispatch(reference.submission, reference.task, reference.attempt, incarnation, kind, "p", remainingMillis = 10_000)

    fun finishCall(reference: TaskReference) = step(AgentInput.CallEnded(reference, CallResult.Done("done"), Duration.ZERO))

    fun advance(time: Duration) {
        clock.now += time
        step(AgentInput.Tick)
    }

    fun outcomes(
        connection: Long,
        reference: TaskReference,
    ): List<TaskOutcome> =
        framesSentOn(connection).flatMap { it.outcomes }.filter { TaskReference(it.submission, it.task, it.attempt) == reference }

    fun grantedCredits(connection: Long): Credits = sum(framesSentOn(connection).mapNotNull { it.credits })

    fun recalledCredits(connection: Long): Credits = sum(framesSentOn(connection).mapNotNull { it.recalled })

    fun lastPermitRequest(): Pair<Long, PermitRequest>? =
        frames.lastOrNull { it.second.permitRequest != null }?.let { it.first to checkNotNull(it.second.permitRequest) }

    fun framesSentOn(connection: Long) = frames.filter { it.first == connection }.map { it.second }

    private fun sum(credits: List<Credits>) = Credits(credits.sumOf { it.slots }, credits.sumOf { it.connections })
}
