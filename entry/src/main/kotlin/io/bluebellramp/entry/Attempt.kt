package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.core.TargetId
import io.bluebellramp.messages.TaskReference
import kotlin.time.Duration

/** One attempt to run one task, dispatched to one incarnation of an agent. */
internal class Attempt(
    val submission: Submission,
    val task: Int,
    val number: Int,
    val session: AgentSession,
    val target: TargetId,
    val dispatchedAt: Duration,
) {
    /** True once the attempt may have been sent. */
    var isSent = false
    val key get() = AttemptKey(submission.id, task, number)
    val reference get() = TaskReference(submission = submission.id, task = task, attempt = number)
}

/** Identifies an attempt. */
internal data class AttemptKey(
    val submission: SubmissionId,
    val task: Int,
    val attempt: Int,
)
