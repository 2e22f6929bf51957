package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.Revision
import io.bluebellramp.core.TargetId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** What an agent does next, as [AgentCore.step] decided. */
internal sealed interface AgentAction {
    /** Sends [frame]. Frames of one connection keep their order; those that wait may be merged. */
    data class Send(
        val connection: ConnectionId,
        val frame: AgentFrame,
    ) : AgentAction

    /**
     * Calls the target at [address] once and reports an [AgentInput.CallEnded] within [timeout].
     *
     * @property before moment of the monotonic clock from which on the call must not be written, the end of the permit
     */
    data class Start(
        val call: TargetCall,
        val address: Address,
        val before: Duration,
        val timeout: Duration,
    ) : AgentAction

    /** Logs and counts a start, if [refusal] is null, or a refusal. */
    data class Decided(
        val reference: TaskReference,
        val refusal: Refusal?,
        val target: TargetId?,
        val revision: Revision,
    ) : AgentAction

    /** Counts an outcome that reaches nobody. */
    data class Dropped(
        val reason: DropReason,
    ) : AgentAction
}

/** Why an outcome reaches nobody. */
internal enum class DropReason {
    /** The entry that asked for the task has restarted. */
    OTHER_ENTRY_INCARNATION,

    /** Nobody received or asked for the outcome in time. */
    EXPIRED,

    /** The results that nobody had received took too much memory. */
    TOO_LARGE,

    /** The call had already been answered. */
    LATE,
}
