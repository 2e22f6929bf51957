package io.bluebellramp.agent

import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** Identifies one connection to an entry. Ids are not reused while the agent process runs. */
@JvmInline
internal value class ConnectionId(
    val value: Long,
)

/** An event that [AgentCore.step] handles. */
internal sealed interface AgentInput {
    /** A connection to an entry opened. */
    data class ConnectionOpened(
        val connection: ConnectionId,
    ) : AgentInput

    /** A connection to an entry was closed by either side. */
    data class ConnectionClosed(
        val connection: ConnectionId,
    ) : AgentInput

    /** An entry sent a frame. */
    data class FrameReceived(
        val connection: ConnectionId,
        val frame: EntryFrame,
    ) : AgentInput

    /** The target of this agent announced itself. */
    data class TargetAnnounced(
        val announcement: TargetAnnouncement,
    ) : AgentInput

    /** The target reported that it is leaving. */
    data object TargetLeft : AgentInput

    /** A call requested by [AgentAction.CallTarget] ended after [duration]. */
    data class CallEnded(
        val reference: TaskReference,
        val result: CallResult,
        val duration: Duration,
    ) : AgentInput

    /** Time has passed. Sent every [AgentOptions.tickInterval]. */
    data object Tick : AgentInput

    /** The process is to finish its running work and exit. */
    data object ShutdownRequested : AgentInput
}
