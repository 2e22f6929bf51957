package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import kotlin.time.Duration

/**
 * Keeps final answers for callers that ask again. No I/O.
 *
 * Digest, outcome and error code of each id are kept for [retention]. Once the full answers exceed [maxBytes], the oldest ones lose their
 * results and messages.
 */
internal class AnswerCache(
    private val retention: Duration,
    budget: MemoryBudget,
    private val maxBytes: Long = DEFAULT_MAX_BYTES,
) {
    /** An answer and the digest of the body that was submitted. */
    class CachedAnswer(
        val digest: String,
        val answer: Answer,
    )

    private class FullAnswer(
        val cached: CachedAnswer,
        val addedAt: Duration,
        val bytes: Long,
    ) {
        var isFetched = false
    }

    private val fullAnswers = LinkedHashMap<SubmissionId, FullAnswer>()
    private val compactAnswers = CompactAnswers(retention, budget)

    /** Estimated memory of the full answers (bytes). */
    var bytes = 0L
        private set

    operator fun get(id: SubmissionId): CachedAnswer? = fullAnswers[id]?.cached ?: compactAnswers[id]

    /** Keeps [answer], removes expired answers and compacts the oldest ones beyond the size limit. */
    fun add(
        digest: String,
        answer: Answer,
        now: Duration,
    ) {
        expire(now)
        val added = FullAnswer(CachedAnswer(digest = digest, answer = answer), addedAt = now, bytes = answer.estimatedBytes())
        fullAnswers[answer.submission] = added
        bytes += added.bytes
        while (bytes > maxBytes && fullAnswers.size > 1) removeOldest().let { compactAnswers.add(it.cached, it.addedAt) }
    }

    /** Records that a caller has received the full answer to [id]. */
    fun markFetched(id: SubmissionId) {
        fullAnswers[id]?.isFetched = true
    }

    /** Returns the full answers that no caller has received. */
    fun unfetchedAnswers(): List<CachedAnswer> = fullAnswers.values.filter { !it.isFetched }.map { it.cached }

    /** Removes answers older than [retention]. */
    fun expire(now: Duration) {
        compactAnswers.expire(now)
        while (fullAnswers.isNotEmpty() && fullAnswers.values.first().addedAt + retention <= now) removeOldest()
    }

    private fun removeOldest(): FullAnswer {
        val oldest = fullAnswers.entries.iterator()
        val removed = oldest.next().value
        oldest.remove()
        bytes -= removed.bytes
        return removed
    }

    private fun Answer.estimatedBytes() =
        ANSWER_BYTES + (error?.message?.length ?: 0) + (results?.sumOf { it.result.length + it.id.length + RESULT_BYTES } ?: 0L)

    companion object {
        private const val DEFAULT_MAX_BYTES = 16L * 1024 * 1024

        /** Memory of one answer without its results: objects, id and digest. */
        const val ANSWER_BYTES = 400L

        /** Memory of one result without its text: the object and the headers of its two strings. */
        const val RESULT_BYTES = 120L
    }
}
