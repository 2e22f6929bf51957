package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import kotlin.time.Duration

/**
 * Keeps final answers for callers that ask again. No I/O.
 *
 * An id is remembered for [life]. The results of the oldest answers are dropped first once all results exceed [maxBytes].
 */
internal class KeptAnswers(
    private val life: Duration,
    private val maxBytes: Long = DEFAULT_BYTES,
) {
    /** An answer and the digest of the body that it belongs to. */
    class Kept(
        val digest: String,
        val answer: Answer,
        val until: Duration,
    )

    private val answers = LinkedHashMap<SubmissionId, Kept>()
    private val withResults = ArrayDeque<SubmissionId>()

    /** Memory of the results that are kept, estimated (bytes). */
    var bytes = 0L
        private set

    operator fun get(id: SubmissionId): Kept? = answers[id]

    /** Keeps [answer] and drops what is too old or too much. */
    fun add(
        digest: String,
        answer: Answer,
        now: Duration,
    ) {
        expire(now)
        answers[answer.submission] = Kept(digest = digest, answer = answer, until = now + life)
        if (answer.results == null) return
        bytes += answer.resultBytes()
        withResults.addLast(answer.submission)
        while (bytes > maxBytes && withResults.size > 1) dropResults(withResults.removeFirst())
    }

    private fun dropResults(id: SubmissionId) {
        val kept = answers[id] ?: return
        bytes -= kept.answer.resultBytes()
        answers[id] = Kept(digest = kept.digest, answer = kept.answer.withoutResults(), until = kept.until)
    }

    private fun expire(now: Duration) {
        val oldest = answers.entries.iterator()
        while (oldest.hasNext()) {
            val (id, kept) = oldest.next()
            if (kept.until > now) return
            bytes -= kept.answer.resultBytes()
            oldest.remove()
            if (withResults.firstOrNull() == id) withResults.removeFirst()
        }
    }

    private fun Answer.resultBytes() = results?.sumOf { it.result.length + it.id.length + RESULT_BYTES } ?: 0L

    private fun Answer.withoutResults() =
        Answer(
            submission = submission,
            outcome = AnswerOutcome.FAILED,
            startedTasks = results?.size,
            error = RESULTS_DROPPED,
            elapsedMillis = elapsedMillis,
        )

    private companion object {
        const val DEFAULT_BYTES = 24L * 1024 * 1024

        /** Memory of one result besides its text: the object, and the headers of its two texts. */
        const val RESULT_BYTES = 120L
        val RESULTS_DROPPED = ErrorBody(ErrorCode.OUTCOME_UNKNOWN, "Every task ran but the results are no longer kept.")
    }
}
