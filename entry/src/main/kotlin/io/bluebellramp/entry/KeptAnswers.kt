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
 * An id is remembered for [life]. The results of the oldest answers are dropped first once they exceed [maxCharacters].
 */
internal class KeptAnswers(
    private val life: Duration,
    private val maxCharacters: Long = DEFAULT_CHARACTERS,
) {
    /** An answer and the digest of the body that it belongs to. */
    class Kept(
        val digest: String,
        val answer: Answer,
        val until: Duration,
    )

    private val answers = LinkedHashMap<SubmissionId, Kept>()
    private val withResults = ArrayDeque<SubmissionId>()
    private var characters = 0L

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
        characters += answer.characters()
        withResults.addLast(answer.submission)
        while (characters > maxCharacters && withResults.size > 1) dropResults(withResults.removeFirst())
    }

    private fun dropResults(id: SubmissionId) {
        val kept = answers[id] ?: return
        characters -= kept.answer.characters()
        answers[id] = Kept(digest = kept.digest, answer = kept.answer.withoutResults(), until = kept.until)
    }

    private fun expire(now: Duration) {
        val oldest = answers.entries.iterator()
        while (oldest.hasNext()) {
            val (id, kept) = oldest.next()
            if (kept.until > now) return
            characters -= kept.answer.characters()
            oldest.remove()
            if (withResults.firstOrNull() == id) withResults.removeFirst()
        }
    }

    private fun Answer.characters() = results?.sumOf { it.result.length + it.id.length.toLong() } ?: 0L

    private fun Answer.withoutResults() =
        Answer(
            submission = submission,
            outcome = AnswerOutcome.FAILED,
            startedTasks = results?.size,
            error = ErrorBody(ErrorCode.OUTCOME_UNKNOWN, "Every task ran but the results are no longer kept."),
            elapsedMillis = elapsedMillis,
        )

    private companion object {
        const val DEFAULT_CHARACTERS = 64L * 1024 * 1024
    }
}
