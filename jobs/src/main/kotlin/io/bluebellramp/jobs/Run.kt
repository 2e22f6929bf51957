package io.bluebellramp.jobs

import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskEvent
import io.bluebellramp.messages.TaskReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

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

    /** When the target was first known to have taken it, or null. */
    var confirmedAt: Duration? = null

    /** When the order to start was given up without an answer, or null. */
    var givenUpAt: Duration? = null

    /** When the last order to stop it was sent, or null. */
    var stopSentAt: Duration? = null

    /** When the target answered an order to stop it, or null. */
    var stopAnsweredAt: Duration? = null
    var reason = ""

    /** How far it is (0 to 100), and since when it is no farther. */
    var percent = -1
        private set
    private var percentSince = Duration.ZERO

    /** Notes how far the run is; returns how long it has stood there. */
    fun progress(
        next: Int,
        now: Duration,
    ): Duration {
        if (next != percent) {
            percent = next
            percentSince = now
        }
        return now - percentSince
    }

    var refusals = 0
    val estimate get() = dispatch.estimateMillis.milliseconds
    val key get() = RunKey(task, number)
    val isKnownStarted get() = confirmedAt != null

    /**
     * When the last answer about it came, or null. Only a list that was asked for later tells of it: answers on different connections
     * overtake each other.
     */
    val settledAt: Duration?
        get() =
            when (state) {
                RunState.UNSURE -> givenUpAt
                RunState.RUNNING -> confirmedAt
                RunState.STOPPING -> stopAnsweredAt
                RunState.QUEUED, RunState.STARTING -> null
            }
    val takesRoom get() = state != RunState.QUEUED

    /** Returns what to tell the entry. */
    fun report(
        event: TaskEvent,
        reason: String = "",
        ran: Duration = Duration.ZERO,
    ) = TaskReport(task.job, task.step, task.index, dispatch.attempt, event, reason, ran.inWholeMilliseconds)

    /** What happened when the run is over although the target did not list its end. */
    val unlistedEnd: TaskEvent
        get() = if (isKnownStarted || state != RunState.STOPPING) TaskEvent.STOPPED else TaskEvent.NOT_STARTED
}
