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
 * Final answers without their results and messages, in primitive arrays: eight longs and about two ints for each. No I/O.
 *
 * Answers are grouped by the time at which they were added, so that a whole group expires at once.
 *
 * @param retention how long an answer is kept at least; it may be up to one twelfth longer
 */
internal class CompactAnswers(
    private val retention: Duration,
    private val budget: MemoryBudget,
) {
    private class ExpiryGroup(
        val expiresAt: Duration,
    ) {
        val rows = CompactAnswerRows()
    }

    private val groups = ArrayDeque<ExpiryGroup>()

    /** Returns the answer to [id] without results and message, or null if it is unknown. */
    operator fun get(id: SubmissionId): AnswerCache.CachedAnswer? {
        val key = UUID.fromString(id.value)
        return groups.firstNotNullOfOrNull { it.rows.find(id, key) }
    }

    /** Adds [cached], which was made at [now]. [now] must not decrease between calls. */
    fun add(
        cached: AnswerCache.CachedAnswer,
        now: Duration,
    ) {
        if (groups.isEmpty() || groups.last().expiresAt <= now + retention) startGroup(expiresAt = now + retention + retention / GROUPS)
        trackMemory(groups.last()) { add(cached) }
    }

    private fun startGroup(expiresAt: Duration) {
        groups.lastOrNull()?.let { trackMemory(it) { trim() } }
        groups += ExpiryGroup(expiresAt)
        budget.reserve(groups.last().rows.bytes)
    }

    private fun trackMemory(
        group: ExpiryGroup,
        change: CompactAnswerRows.() -> Unit,
    ) {
        val before = group.rows.bytes
        group.rows.change()
        budget.reserve(group.rows.bytes - before)
    }

    /** Removes the groups whose answers have all expired. */
    fun expire(now: Duration) {
        while (groups.isNotEmpty() && groups.first().expiresAt <= now) budget.release(groups.removeFirst().rows.bytes)
    }

    private companion object {
        const val GROUPS = 12
    }
}

/** Append-only rows of answers with an index by id. */
internal class CompactAnswerRows : RowKeys {
    private var rows = LongArray(INITIAL_ROWS * LONGS)

    private val index = RowIndex(this)
    private var size = 0

    /** Memory of the rows and their index (bytes). */
    val bytes get() = rows.size.toLong() * Long.SIZE_BYTES + index.bytes

    /** Returns the answer to [id], or null if there is none. [key] is [id] as a UUID. */
    fun find(
        id: SubmissionId,
        key: UUID,
    ): AnswerCache.CachedAnswer? {
        val row = index.find(key.mostSignificantBits, key.leastSignificantBits)
        return if (row < 0) null else read(id, row * LONGS)
    }

    /** Adds a row for [cached]. Its id must not have a row yet. */
    fun add(cached: AnswerCache.CachedAnswer) {
        if ((size + 1) * LONGS > rows.size) rows = rows.copyOf((size + size / GROWTH_DIVISOR + 1) * LONGS)
        write(cached, size * LONGS)
        index.add(size++)
    }

    /** Frees the unused capacity. */
    fun trim() {
        rows = rows.copyOf(size * LONGS)
    }

    private fun write(
        cached: AnswerCache.CachedAnswer,
        at: Int,
    ) {
        val key = UUID.fromString(cached.answer.submission.value)
        val digest = ByteBuffer.wrap(HexFormat.of().parseHex(cached.digest))
        rows[at] = key.mostSignificantBits
        rows[at + 1] = key.leastSignificantBits
        repeat(DIGEST_LONGS) { rows[at + DIGEST_OFFSET + it] = digest.getLong() }
        rows[at + ELAPSED_OFFSET] = cached.answer.elapsedMillis.toRawBits()
        rows[at + PACKED_FIELDS_OFFSET] = packedFields(cached.answer)
    }

    private fun packedFields(answer: Answer): Long {
        val started = answer.results?.size ?: answer.startedTasks ?: UNKNOWN_COUNT
        val code = if (answer.results != null) ErrorCode.OUTCOME_UNKNOWN else answer.error?.code
        return (started.toLong() shl STARTED_SHIFT) or (answer.outcome.ordinal shl OUTCOME_SHIFT).toLong() or
            (code?.ordinal ?: NO_ERROR_CODE).toLong()
    }

    private fun read(
        id: SubmissionId,
        at: Int,
    ): AnswerCache.CachedAnswer {
        val digest = ByteBuffer.allocate(DIGEST_LONGS * Long.SIZE_BYTES)
        repeat(DIGEST_LONGS) { digest.putLong(rows[at + DIGEST_OFFSET + it]) }
        return AnswerCache.CachedAnswer(digest = HexFormat.of().formatHex(digest.array()), answer = answer(id, at))
    }

    private fun answer(
        id: SubmissionId,
        at: Int,
    ): Answer {
        val packedFields = rows[at + PACKED_FIELDS_OFFSET]
        val outcome = AnswerOutcome.entries[(packedFields shr OUTCOME_SHIFT).toInt() and BYTE_MASK]
        val code = ErrorCode.entries.getOrNull(packedFields.toInt() and BYTE_MASK)
        val isComplete = outcome == AnswerOutcome.COMPLETE
        return Answer(
            submission = id,
            outcome = if (isComplete) AnswerOutcome.FAILED else outcome,
            startedTasks = (packedFields shr STARTED_SHIFT).toInt().takeIf { it != UNKNOWN_COUNT },
            error = code?.let { ErrorBody(it, if (isComplete) RESULTS_DROPPED else MESSAGE_DROPPED) },
            elapsedMillis = Double.fromBits(rows[at + ELAPSED_OFFSET]),
        )
    }

    override fun high(row: Int): Long = rows[row * LONGS]

    override fun low(row: Int): Long = rows[row * LONGS + 1]

    private companion object {
        /** Longs in a row: the id in two, the digest in four, the elapsed time, and the packed fields of the answer. */
        const val LONGS = 8
        const val DIGEST_OFFSET = 2
        const val DIGEST_LONGS = 4
        const val ELAPSED_OFFSET = 6
        const val PACKED_FIELDS_OFFSET = 7
        const val STARTED_SHIFT = 32
        const val OUTCOME_SHIFT = 8
        const val BYTE_MASK = 0xFF
        const val NO_ERROR_CODE = 0xFF
        const val UNKNOWN_COUNT = -1
        const val INITIAL_ROWS = 16

        /** The capacity grows by one part in this many. */
        const val GROWTH_DIVISOR = 8

        const val RESULTS_DROPPED = "Every task ran but the results are no longer kept."
        const val MESSAGE_DROPPED = "The details are no longer kept."
    }
}
