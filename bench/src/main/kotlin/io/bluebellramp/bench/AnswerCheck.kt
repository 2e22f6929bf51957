package io.bluebellramp.bench

import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.JobSubmission
import io.bluebellramp.messages.RequestSubmission

/**
 * Checks that an answer is the whole answer to its own submission.
 *
 * It relies on the sample target, which answers the text after `echo:` in the payload.
 */
internal object AnswerCheck {
    private const val ECHO = "echo:"

    /** Returns what is wrong with the [answer] to [job], or null. */
    fun fault(
        job: JobSubmission,
        answer: Answer,
    ): String? {
        val results = answer.results
        return when {
            answer.submission != job.submission -> "answer to ${answer.submission} came for ${job.submission}"
            answer.outcome != AnswerOutcome.COMPLETE -> partial(answer)
            results == null || results.size != job.tasks.size -> "${job.submission}: ${results?.size} of ${job.tasks.size} results"
            results.map { it.id } != job.tasks.map { it.id } -> "${job.submission}: results of other tasks or in another order"
            results.map { it.result } != job.tasks.map { echoed(it.payload) } -> "${job.submission}: wrong result"
            else -> null
        }
    }

    /** Returns what is wrong with the [answer] to [request], or null. */
    fun fault(
        request: RequestSubmission,
        answer: Answer,
    ): String? =
        when {
            answer.submission != request.submission -> "answer to ${answer.submission} came for ${request.submission}"
            answer.outcome != AnswerOutcome.COMPLETE -> partial(answer)
            answer.results?.map { it.result } != listOf(echoed(request.payload)) -> "${request.submission}: wrong result"
            else -> null
        }

    private fun partial(answer: Answer): String? =
        when {
            !answer.results.isNullOrEmpty() -> "${answer.submission}: results in an answer that is not complete"
            answer.outcome == AnswerOutcome.NOT_RUN && (answer.startedTasks ?: 0) > 0 -> "${answer.submission}: not run, yet started"
            else -> null
        }

    private fun echoed(payload: String): String = payload.substringAfter(ECHO)
}
