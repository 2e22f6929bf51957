package io.bluebellramp.bench.trial

import io.bluebellramp.placement.QueueDemand
import kotlin.time.Duration

/** What an entry sends to an agent in one message. */
internal class ToAgent {
    val dispatches = ArrayList<TrialTask>()
    var returned = 0

    /** Credits asked back that this message answers, whether or not they are returned. */
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

/** How a dispatched task ended at its agent. */
internal class TrialOutcome(
    val task: TrialTask,
    val ran: Duration,
    val failed: Boolean,
    val notRun: Boolean,
)

/** What an agent sends to an entry in one message. */
internal class ToEntry {
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

/** Collects what is sent to each peer within one event and delivers it as one message after the delay of the link. */
internal class FrameOutbox<F>(
    private val time: VirtualTime,
    private val create: () -> F,
    private val delay: (peer: Int) -> Duration,
    private val seal: (peer: Int, frame: F) -> Unit,
    private val deliver: (peer: Int, frame: F) -> Unit,
) {
    private val open = HashMap<Int, F>()

    /** The message to [peer] that is being filled. */
    fun to(peer: Int): F =
        open.getOrPut(peer) {
            time.after(Duration.ZERO) { flush(peer) }
            create()
        }

    private fun flush(peer: Int) {
        val frame = open.remove(peer) ?: return
        seal(peer, frame)
        time.after(delay(peer)) { deliver(peer, frame) }
    }
}
