package io.bluebellramp.entry

import io.bluebellramp.messages.ErrorBody

/** Hears what becomes of the tasks of a submission. */
internal interface SubmissionListener {
    /** Every task has its result. */
    fun completed(submission: Submission)

    /** A task failed for good. */
    fun failed(
        submission: Submission,
        error: ErrorBody,
    )

    /** An attempt was settled while the submission is closing. */
    fun settled(submission: Submission)
}
