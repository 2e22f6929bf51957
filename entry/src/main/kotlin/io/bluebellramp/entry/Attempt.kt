package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** One attempt at one task, dispatched to one incarnation of one agent. */
internal class Attempt(
    val submission: Submission,
    val task: Int,
    val number: Int,
    val session: AgentSession,
    val target: TargetId,
    val dispatched: Duration,
) {
    /** True once it may have left this process. */
    var isSent = false
    val key get() = AttemptKey(submission.id, task, number)
    val reference get() = TaskReference(submission = submission.id, task = task, attempt = number)
}

/** Names an attempt. */
internal data class AttemptKey(
    val submission: SubmissionId,
    val task: Int,
    val attempt: Int,
)
