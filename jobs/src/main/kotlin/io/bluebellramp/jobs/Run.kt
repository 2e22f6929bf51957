package io.bluebellramp.jobs

import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskEvent
import io.bluebellramp.messages.TaskReport
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** State of a run, as its agent knows it. The names appear in log lines. */
internal enum class RunState {
    /** The run waits for free capacity. */
    QUEUED,

    /** The order to start was sent and not answered yet. */
    STARTING,

    /** The order to start got no answer: the run may have started or may still start. */
    UNSURE,

    /** The target has started the run. */
    RUNNING,

    /** The run is being stopped. It uses capacity until its end is certain. */
    STOPPING,
}

/** One task that an entry dispatched to this agent, and its run at the target. */
internal class Run(
    val owner: LinkId,
    val task: TaskKey,
    val dispatch: StepDispatch,
    val receivedAt: Duration,
) {
    var state = RunState.QUEUED
    var number = 0
    var orderedAt = Duration.ZERO

    /** The life of the target that was current when the order to start was sent, or null. */
    var orderedAtLife: Long? = null

    /** When the target was first known to have started the run, or null. */
    var confirmedAt: Duration? = null

    /** When the order to start failed without an answer, or null. */
    var startUnansweredAt: Duration? = null

    /** When the run was first to be stopped, or null. */
    var stopRequestedAt: Duration? = null

    /** When the last order to stop the run was sent, or null. */
    var stopSentAt: Duration? = null

    /** When the target answered an order to stop the run, or null. */
    var stopAnsweredAt: Duration? = null
    var stopReason = ""

    /** Last reported progress (0 to 100), or -1 before the first report. */
    var percent = -1
        private set
    private var percentSince = Duration.ZERO

    /** Records the progress of the run. Returns how long it has been unchanged. */
    fun updateProgress(
        next: Int,
        now: Duration,
    ): Duration {
        if (next != percent) {
            percent = next
            percentSince = now
        }
        return now - percentSince
    }

    /** True if the latest list that can tell does not name the run, so that it is not at work unless its order to start is carried out late. */
    var isUnlisted = false
        private set

    /** Updates [isUnlisted] from a list requested at [requestedAt]. Its silence tells nothing if the order to start may have been under way. */
    fun updateListing(
        isListed: Boolean,
        requestedAt: Duration,
    ) {
        val settledAt = confirmedAt ?: startUnansweredAt
        if (isListed) {
            isUnlisted = false
        } else if (settledAt != null && settledAt < requestedAt) {
            isUnlisted = true
        }
    }

    var refusals = 0
    val estimate get() = dispatch.estimateMillis.milliseconds
    val key get() = RunKey(task, number)
    val isKnownStarted get() = confirmedAt != null

    /**
     * When the last answer about the run arrived, or null. Only a list requested later than this is evidence of whether the run exists,
     * because answers on different connections can overtake each other.
     */
    val lastAnswerAt: Duration?
        get() =
            when (state) {
                RunState.UNSURE -> startUnansweredAt
                RunState.RUNNING -> confirmedAt
                RunState.STOPPING -> stopAnsweredAt
                RunState.QUEUED, RunState.STARTING -> null
            }
    val usesCapacity get() = state != RunState.QUEUED

    /** True if the target has answered the order to stop, so that the run ends without its lease. */
    val isStopAnswered get() = state == RunState.STOPPING && stopAnsweredAt != null

    /** Creates the report to the entry. */
    fun report(
        event: TaskEvent,
        reason: String = "",
        ran: Duration = Duration.ZERO,
    ) = TaskReport(task.job, task.step, task.index, dispatch.attempt, event, reason, ran.inWholeMilliseconds)

    /**
     * Returns the event to report if the run is over and a list of the target's life [listedBy], null if unknown, did not name its end. The list
     * proves that the run never started only if the order to start can have reached no other life, and if an order to stop keeps it from starting
     * later.
     */
    fun eventIfUnlisted(listedBy: Long?): TaskEvent {
        val isSameLife = listedBy != null && listedBy == orderedAtLife
        val isNeverStarted = !isKnownStarted && state == RunState.STOPPING && isSameLife
        return if (isNeverStarted) TaskEvent.NOT_STARTED else TaskEvent.STOPPED
    }
}
