package io.bluebellramp.bench

import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.RequestSubmission

/**
 * Checks that an answer is complete and belongs to its submission.
 *
 * The expected result of a task is the text after `echo:` in its payload, which is what the sample target returns.
 */
internal object AnswerCheck {
    private const val ECHO_PREFIX = "echo:"

    /** Returns a description of the error in the [answer] to [job], or null if it is correct. */
    fun fault(
        job: JobSubmission,
        answer: Answer,
    ): String? {
        val results = answer.results
        return when {
            answer.submission != job.submission -> "answer to ${answer.submission} came for ${job.submission}"
            answer.outcome != AnswerOutcome.COMPLETE -> incompleteAnswerFault(answer)
            results == null || results.size != job.tasks.size -> "${job.submission}: ${results?.size} of ${job.tasks.size} results"
            results.map { it.id } != job.tasks.map { it.id } -> "${job.submission}: results of other tasks or in another order"
            results.map { it.result } != job.tasks.map { expectedResult(it.payload) } -> "${job.submission}: wrong result"
            else -> null
        }
    }

    /** Returns a description of the error in the [answer] to [request], or null if it is correct. */
    fun fault(
        request: RequestSubmission,
        answer: Answer,
    ): String? =
        when {
            answer.submission != request.submission -> "answer to ${answer.submission} came for ${request.submission}"
            answer.outcome != AnswerOutcome.COMPLETE -> incompleteAnswerFault(answer)
            answer.results?.map { it.result } != listOf(expectedResult(request.payload)) -> "${request.submission}: wrong result"
            else -> null
        }

    private fun incompleteAnswerFault(answer: Answer): String? =
        when {
            !answer.results.isNullOrEmpty() -> "${answer.submission}: results in an answer that is not complete"
            answer.outcome == AnswerOutcome.NOT_RUN && (answer.startedTasks ?: 0) > 0 -> "${answer.submission}: not run, yet started"
            else -> null
        }

    private fun expectedResult(payload: String): String = payload.substringAfter(ECHO_PREFIX)
}
