package io.bluebellramp.entry

import io.bluebellramp.core.RowIndex
import io.bluebellramp.core.RowKeys
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import java.nio.ByteBuffer
import java.util.HexFormat
import java.util.UUID
import kotlin.time.Duration

/**
 * What is left of answers whose results and messages are no longer kept, in primitive arrays: eight longs and about two ints for each. No I/O.
 *
 * Answers are grouped by the time at which they were added, so that a whole group is forgotten at once.
 *
 * @param life how long an answer is remembered; it may be up to one twelfth longer
 */
internal class RememberedAnswers(
    private val life: Duration,
    private val budget: MemoryBudget,
) {
    private class Group(
        val until: Duration,
    ) {
        val rows = AnswerRows()
    }

    private val groups = ArrayDeque<Group>()

    /** Returns what is remembered of [id], or null. */
    operator fun get(id: SubmissionId): KeptAnswers.Kept? {
        val key = UUID.fromString(id.value)
        return groups.firstNotNullOfOrNull { it.rows.find(id, key) }
    }

    /** Remembers [kept], which was made at [now]. Times never fall. */
    fun add(
        kept: KeptAnswers.Kept,
        now: Duration,
    ) {
        if (groups.isEmpty() || groups.last().until <= now + life) begin(until = now + life + life / GROUPS)
        counted(groups.last()) { add(kept) }
    }

    private fun begin(until: Duration) {
        groups.lastOrNull()?.let { counted(it) { trim() } }
        groups += Group(until)
        budget.take(groups.last().rows.bytes)
    }

    private fun counted(
        group: Group,
        change: AnswerRows.() -> Unit,
    ) {
        val before = group.rows.bytes
        group.rows.change()
        budget.take(group.rows.bytes - before)
    }

    /** Forgets what is older than its life. */
    fun expire(now: Duration) {
        while (groups.isNotEmpty() && groups.first().until <= now) budget.give(groups.removeFirst().rows.bytes)
    }

    private companion object {
        const val GROUPS = 12
    }
}

/** Rows of remembered answers with an index by id. Rows are only added. */
internal class AnswerRows : RowKeys {
    private var rows = LongArray(FIRST_ROWS * LONGS)

    private val index = RowIndex(this)
    private var size = 0

    /** Memory of the rows and their index. */
    val bytes get() = rows.size.toLong() * Long.SIZE_BYTES + index.bytes

    /** Returns what the row of [key], which is [id], holds, or null if there is none. */
    fun find(
        id: SubmissionId,
        key: UUID,
    ): KeptAnswers.Kept? {
        val row = index.find(key.mostSignificantBits, key.leastSignificantBits)
        return if (row < 0) null else read(id, row * LONGS)
    }

    /** Adds a row for [kept], whose id has none. */
    fun add(kept: KeptAnswers.Kept) {
        if ((size + 1) * LONGS > rows.size) rows = rows.copyOf((size + size / GROWTH_SHARE + 1) * LONGS)
        write(kept, size * LONGS)
        index.add(size++)
    }

    /** Gives back the room that was kept for more rows. */
    fun trim() {
        rows = rows.copyOf(size * LONGS)
    }

    private fun write(
        kept: KeptAnswers.Kept,
        at: Int,
    ) {
        val key = UUID.fromString(kept.answer.submission.value)
        val digest = ByteBuffer.wrap(HexFormat.of().parseHex(kept.digest))
        rows[at] = key.mostSignificantBits
        rows[at + 1] = key.leastSignificantBits
        repeat(DIGEST_LONGS) { rows[at + DIGEST + it] = digest.getLong() }
        rows[at + ELAPSED] = kept.answer.elapsedMillis.toRawBits()
        rows[at + FIGURES] = figures(kept.answer)
    }

    private fun figures(answer: Answer): Long {
        val started = answer.results?.size ?: answer.startedTasks ?: UNKNOWN
        val code = if (answer.results != null) ErrorCode.OUTCOME_UNKNOWN else answer.error?.code
        return (started.toLong() shl STARTED_SHIFT) or (answer.outcome.ordinal shl OUTCOME_SHIFT).toLong() or
            (code?.ordinal ?: NO_CODE).toLong()
    }

    private fun read(
        id: SubmissionId,
        at: Int,
    ): KeptAnswers.Kept {
        val digest = ByteBuffer.allocate(DIGEST_LONGS * Long.SIZE_BYTES)
        repeat(DIGEST_LONGS) { digest.putLong(rows[at + DIGEST + it]) }
        return KeptAnswers.Kept(digest = HexFormat.of().formatHex(digest.array()), answer = answer(id, at))
    }

    private fun answer(
        id: SubmissionId,
        at: Int,
    ): Answer {
        val figures = rows[at + FIGURES]
        val outcome = AnswerOutcome.entries[(figures shr OUTCOME_SHIFT).toInt() and BYTE_MASK]
        val code = ErrorCode.entries.getOrNull(figures.toInt() and BYTE_MASK)
        val isComplete = outcome == AnswerOutcome.COMPLETE
        return Answer(
            submission = id,
            outcome = if (isComplete) AnswerOutcome.FAILED else outcome,
            startedTasks = (figures shr STARTED_SHIFT).toInt().takeIf { it != UNKNOWN },
            error = code?.let { ErrorBody(it, if (isComplete) RESULTS_DROPPED else MESSAGE_DROPPED) },
            elapsedMillis = Double.fromBits(rows[at + ELAPSED]),
        )
    }

    override fun high(row: Int): Long = rows[row * LONGS]

    override fun low(row: Int): Long = rows[row * LONGS + 1]

    private companion object {
        /** Longs of a row: the id in two, the digest in four, the elapsed time, and the figures of the answer. */
        const val LONGS = 8
        const val DIGEST = 2
        const val DIGEST_LONGS = 4
        const val ELAPSED = 6
        const val FIGURES = 7
        const val STARTED_SHIFT = 32
        const val OUTCOME_SHIFT = 8
        const val BYTE_MASK = 0xFF
        const val NO_CODE = 0xFF
        const val UNKNOWN = -1
        const val FIRST_ROWS = 16

        /** Rows grow by one part in this many. */
        const val GROWTH_SHARE = 8

        const val RESULTS_DROPPED = "Every task ran but the results are no longer kept."
        const val MESSAGE_DROPPED = "The details are no longer kept."
    }
}
