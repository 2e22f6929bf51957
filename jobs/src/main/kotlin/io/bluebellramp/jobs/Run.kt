package io.bluebellramp.jobs

import io.bluebellramp.messages.StepDispatch
import kotlin.time.Duration

/** Where a run stands at its agent. */
internal enum class RunState {
    /** It waits for room. */
    QUEUED,

    /** The order to start is under way. */
    STARTING,

    /** The order to start got no answer: the run may be there, or may still come. */
    UNSURE,

    /** The target has it. */
    RUNNING,

    /** It is being ended; it counts until its end is certain. */
    STOPPING,
}

/** One task that an entry dispatched to this agent. */
internal class Run(
    val owner: LinkId,
    val task: TaskKey,
    val dispatch: StepDispatch,
    val receivedAt: Duration,
) {
    var state = RunState.QUEUED
    var number = 0
    var orderedAt = Duration.ZERO

    /** True once the target is known to have taken it. */
    var isKnownStarted = false

    /** When the last order to stop it was sent, or null. */
    var stopSentAt: Duration? = null

    /** True once the target has answered an order to stop it. */
    var isStopAnswered = false
    var reason = ""
    var refusals = 0
    val key get() = RunKey(task, number)
    val takesRoom get() = state != RunState.QUEUED
}
