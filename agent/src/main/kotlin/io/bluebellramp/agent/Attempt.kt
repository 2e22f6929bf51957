package io.bluebellramp.agent

import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** One incarnation of an entry, from its start to its exit. It owns the attempts that it dispatches. */
internal data class EntryIncarnation(
    val entry: EntryId,
    val incarnation: IncarnationId,
) {
    companion object {
        /** Placeholder for an entry that has not sent its hello. */
        val NONE = EntryIncarnation(EntryId(""), IncarnationId(""))
    }
}

/**
 * An attempt that is queued or running at this agent.
 *
 * @property connection the connection on which it was dispatched
 * @property deadline monotonic time from which on it is refused instead of started
 */
internal class Attempt(
    val dispatch: Dispatch,
    val owner: EntryIncarnation,
    val connection: ConnectionId,
    val deadline: Duration,
) {
    val reference = TaskReference(dispatch.submission, dispatch.task, dispatch.attempt)
    var isRunning = false
}
