package io.bluebellramp.agent

import io.bluebellramp.core.Address
import io.bluebellramp.core.Revision
import io.bluebellramp.core.TargetId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.TargetCall
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** An action for the process to perform, decided by [AgentCore.step]. */
internal sealed interface AgentAction {
    /** Sends [frame]. Frames of one connection stay in order; queued frames may be merged into one. */
    data class SendFrame(
        val connection: ConnectionId,
        val frame: AgentFrame,
    ) : AgentAction

    /**
     * Calls the target at [address] once and reports an [AgentInput.CallEnded] within [timeout].
     *
     * @property sendDeadline monotonic time at which the permit expires; from then on the call must not be sent
     */
    data class CallTarget(
        val call: TargetCall,
        val address: Address,
        val sendDeadline: Duration,
        val timeout: Duration,
    ) : AgentAction

    /** Logs and counts the start of an attempt, or its refusal if [refusal] is not null. */
    data class RecordDecision(
        val reference: TaskReference,
        val refusal: Refusal?,
        val target: TargetId?,
        val revision: Revision,
    ) : AgentAction

    /** Counts an outcome that will not be delivered to any entry. */
    data class CountDroppedOutcome(
        val reason: DropReason,
    ) : AgentAction
}

/** Why an outcome is not delivered to any entry. */
internal enum class DropReason {
    /** The entry that dispatched the task has restarted. */
    OTHER_ENTRY_INCARNATION,

    /** No entry received or asked for the outcome within [AgentOptions.outcomeTtl]. */
    EXPIRED,

    /** The outcomes that no entry had received exceeded [AgentOptions.maxOutcomeBytes]. */
    TOO_LARGE,

    /** The end of the call had already been handled. */
    LATE,
}
