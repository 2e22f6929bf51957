package io.bluebellramp.entry

import io.bluebellramp.messages.ErrorBody

/** Is notified of the progress of a submission's tasks. */
internal interface SubmissionListener {
    /** Every task has its result. */
    fun completed(submission: Submission)

    /** A task failed and is not retried. */
    fun failed(
        submission: Submission,
        error: ErrorBody,
    )

    /** An attempt was settled while the submission was closing. */
    fun settled(submission: Submission)
}
