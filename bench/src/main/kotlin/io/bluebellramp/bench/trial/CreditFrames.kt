package io.bluebellramp.bench.trial

import io.bluebellramp.placement.QueueDemand
import kotlin.time.Duration

/** Message from an entry to an agent. */
internal class FrameToAgent {
    val dispatches = ArrayList<TrialTask>()
    var returned = 0

    /** Number of recalled credits that this message answers, whether or not they are returned. */
    var answered = 0
    var demand: QueueDemand? = null

    val kind: MessageKind
        get() =
            when {
                dispatches.isNotEmpty() -> MessageKind.DISPATCH
                answered > 0 -> MessageKind.RETURN
                else -> MessageKind.DEMAND
            }
}

/** Outcome of a dispatched task at its agent. */
internal class TrialOutcome(
    val task: TrialTask,
    val ran: Duration,
    val failed: Boolean,
    val notRun: Boolean,
)

/** Message from an agent to an entry. */
internal class FrameToEntry {
    val outcomes = ArrayList<TrialOutcome>()
    var granted = 0
    var recalled = 0
    var dropped = false

    val kind: MessageKind
        get() =
            when {
                outcomes.any { it.notRun } -> MessageKind.REFUSAL
                outcomes.isNotEmpty() -> MessageKind.OUTCOME
                granted > 0 -> MessageKind.GRANT
                else -> MessageKind.RECALL
            }
}

/** Combines everything sent to a peer within one event into one frame and delivers it after the delay of the link. */
internal class FrameOutbox<F>(
    private val time: VirtualTimeScheduler,
    private val create: () -> F,
    private val delay: (peer: Int) -> Duration,
    private val beforeSend: (peer: Int, frame: F) -> Unit,
    private val deliver: (peer: Int, frame: F) -> Unit,
) {
    private val openFrames = HashMap<Int, F>()

    /** Returns the frame to [peer] that is being filled. */
    fun frameTo(peer: Int): F =
        openFrames.getOrPut(peer) {
            time.after(Duration.ZERO) { flush(peer) }
            create()
        }

    private fun flush(peer: Int) {
        val frame = openFrames.remove(peer) ?: return
        beforeSend(peer, frame)
        time.after(delay(peer)) { deliver(peer, frame) }
    }
}
