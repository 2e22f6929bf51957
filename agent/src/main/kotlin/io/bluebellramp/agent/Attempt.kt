package io.bluebellramp.agent

import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.messages.Dispatch
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** One run of one entry process, the owner of the attempts that it dispatches. */
internal data class EntryRun(
    val entry: EntryId,
    val incarnation: IncarnationId,
) {
    companion object {
        /** Stands for an entry that has not said who it is. */
        val NONE = EntryRun(EntryId(""), IncarnationId(""))
    }
}

/**
 * An attempt that waits or runs at this agent.
 *
 * @property connection the connection that it came on
 * @property deadline moment of the monotonic clock after which it need not start
 */
internal class Attempt(
    val dispatch: Dispatch,
    val owner: EntryRun,
    val connection: ConnectionId,
    val deadline: Duration,
) {
    val reference = TaskReference(dispatch.submission, dispatch.task, dispatch.attempt)
    var isRunning = false
}
