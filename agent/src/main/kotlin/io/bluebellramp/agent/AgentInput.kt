package io.bluebellramp.agent

import io.bluebellramp.messages.EntryFrame
import io.bluebellramp.messages.TargetAnnouncement
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** Names one connection to an entry. Ids are never used again in one run of the agent. */
@JvmInline
internal value class ConnectionId(
    val value: Long,
)

/** What happens to an agent, for [AgentCore.step]. */
internal sealed interface AgentInput {
    /** A connection to an entry opened. */
    data class ConnectionOpened(
        val connection: ConnectionId,
    ) : AgentInput

    /** A connection to an entry closed, by whichever side. */
    data class ConnectionClosed(
        val connection: ConnectionId,
    ) : AgentInput

    /** An entry sent a frame. */
    data class FrameReceived(
        val connection: ConnectionId,
        val frame: EntryFrame,
    ) : AgentInput

    /** The target beside the agent announced itself. */
    data class TargetAnnounced(
        val announcement: TargetAnnouncement,
    ) : AgentInput

    /** The target said that it leaves. */
    data object TargetLeft : AgentInput

    /** A call that [AgentAction.Start] asked for has ended after it [ran] so long. */
    data class CallEnded(
        val reference: TaskReference,
        val result: CallResult,
        val ran: Duration,
    ) : AgentInput

    /** Time has passed. Due every [AgentOptions.tick]. */
    data object Tick : AgentInput

    /** The process shuts down. */
    data object Leave : AgentInput
}
