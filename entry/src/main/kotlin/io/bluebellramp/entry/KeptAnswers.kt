package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import kotlin.time.Duration

/**
 * Keeps final answers for callers that ask again. No I/O.
 *
 * An id is remembered for [life] with its digest, outcome and code. The results and messages of the oldest answers are dropped first
 * once all answers exceed [maxBytes].
 */
internal class KeptAnswers(
    private val life: Duration,
    budget: MemoryBudget,
    private val maxBytes: Long = DEFAULT_BYTES,
) {
    /** An answer and the digest of the body that it belongs to. */
    class Kept(
        val digest: String,
        val answer: Answer,
    )

    private class Whole(
        val kept: Kept,
        val added: Duration,
        val bytes: Long,
    ) {
        var isFetched = false
    }

    private val whole = LinkedHashMap<SubmissionId, Whole>()
    private val remembered = RememberedAnswers(life, budget)

    /** Memory of the answers that are kept whole, estimated (bytes). */
    var bytes = 0L
        private set

    operator fun get(id: SubmissionId): Kept? = whole[id]?.kept ?: remembered[id]

    /** Keeps [answer] and drops what is too old or too much. */
    fun add(
        digest: String,
        answer: Answer,
        now: Duration,
    ) {
        expire(now)
        val added = Whole(Kept(digest = digest, answer = answer), added = now, bytes = answer.bytes())
        whole[answer.submission] = added
        bytes += added.bytes
        while (bytes > maxBytes && whole.size > 1) removeOldest().let { remembered.add(it.kept, it.added) }
    }

    /** Notes that a caller has the whole answer to [id]. */
    fun fetched(id: SubmissionId) {
        whole[id]?.isFetched = true
    }

    /** Returns the answers that are kept whole and that no caller has. */
    fun unfetched(): List<Kept> = whole.values.filter { !it.isFetched }.map { it.kept }

    /** Forgets what is older than its life. */
    fun expire(now: Duration) {
        remembered.expire(now)
        while (whole.isNotEmpty() && whole.values.first().added + life <= now) removeOldest()
    }

    private fun removeOldest(): Whole {
        val oldest = whole.entries.iterator()
        val removed = oldest.next().value
        oldest.remove()
        bytes -= removed.bytes
        return removed
    }

    private fun Answer.bytes() =
        ANSWER_BYTES + (error?.message?.length ?: 0) + (results?.sumOf { it.result.length + it.id.length + RESULT_BYTES } ?: 0L)

    companion object {
        private const val DEFAULT_BYTES = 16L * 1024 * 1024

        /** Memory of one answer besides its results: the objects, its id and its digest. */
        const val ANSWER_BYTES = 400L

        /** Memory of one result besides its text: the object, and the headers of its two texts. */
        const val RESULT_BYTES = 120L
    }
}
