package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.TaskResult
import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Memory of an answer with one result, whose id and text have 10 characters in total. */
private const val BYTES_PER_ANSWER = 10L + AnswerCache.RESULT_BYTES + AnswerCache.ANSWER_BYTES
private const val ANSWER_COUNT = 100_000
private val DIGEST = "0f".repeat(32)

class AnswerCacheTest {
    private val budget = MemoryBudget(maxBytes = Long.MAX_VALUE)
    private val cache = AnswerCache(retention = 12.minutes, budget = budget, maxBytes = 2 * BYTES_PER_ANSWER)
    private val ids = List(4) { SubmissionId.create(Instant.EPOCH, it.toLong(), it.toLong()) }

    private fun add(
        id: SubmissionId,
        now: Duration,
    ) = cache.add(DIGEST, Answer(id, AnswerOutcome.COMPLETE, results = listOf(TaskResult("t", "123456789"))), now)

    @Nested
    inner class `Cached answers` {
        @Test
        fun `lose the oldest results first, but never the id`() {
            ids.take(3).forEach { add(it, Duration.ZERO) }
            assertEquals(
                listOf(AnswerOutcome.FAILED to 1, AnswerOutcome.COMPLETE to null, AnswerOutcome.COMPLETE to null),
                ids.take(3).map { id -> cache[id]!!.answer.let { it.outcome to it.startedTasks } },
            )
        }

        @Test
        fun `keep digest, outcome, error code and elapsed time when their details are dropped`() {
            val refused =
                Answer(ids[0], AnswerOutcome.NOT_RUN, startedTasks = 0, error = ErrorBody(ErrorCode.CANCELLED, "m"), elapsedMillis = 1.5)
            val lost = Answer(ids[1], AnswerOutcome.FAILED, error = ErrorBody(ErrorCode.OWNER_LOST, "m"))
            listOf(refused, lost).forEach { cache.add(DIGEST, it, Duration.ZERO) }
            ids.drop(2).forEach { add(it, Duration.ZERO) }
            listOf(refused, lost).forEach {
                val found = cache[it.submission]!!
                val dropped = it.copy(error = it.error!!.copy(message = "The details are no longer kept."))
                assertEquals(DIGEST to dropped, found.digest to found.answer)
            }
        }

        @Test
        fun `take at most 80 bytes each once their details are dropped, and free them after the retention`() {
            val many = List(ANSWER_COUNT) { SubmissionId.create(Instant.EPOCH.plusMillis(it.toLong())) }
            many.forEachIndexed { i, id -> add(id, i.milliseconds) }
            assertTrue(many.all { cache[it]?.digest == DIGEST })
            assertTrue(budget.usedBytes in ANSWER_COUNT * 64L - 200..ANSWER_COUNT * 80L, "${budget.usedBytes} bytes")
            cache.expire(14.minutes)
            assertEquals(listOf(null, null), listOf(many.first(), many.last()).map { cache[it] })
            assertEquals(0L, budget.usedBytes)
        }

        @Test
        fun `are unfetched until a caller has received them`() {
            ids.take(2).forEach { add(it, Duration.ZERO) }
            cache.markFetched(ids[0])
            assertEquals(listOf(ids[1]), cache.unfetchedAnswers().map { it.answer.submission })
        }

        @Test
        fun `count the memory of a result besides its text`() {
            ids.take(2).forEach { add(it, Duration.ZERO) }
            assertEquals(2 * BYTES_PER_ANSWER, cache.bytes)
            add(ids[2], Duration.ZERO)
            assertEquals(2 * BYTES_PER_ANSWER, cache.bytes)
            add(ids[3], 13.minutes)
            assertEquals(BYTES_PER_ANSWER, cache.bytes)
        }

        @Test
        fun `are removed after the retention`() {
            ids.take(2).forEach { add(it, Duration.ZERO) }
            add(ids[2], 11.minutes)
            add(ids[3], 13.minutes)
            assertNull(cache[ids[0]])
            assertEquals(listOf(AnswerOutcome.COMPLETE, AnswerOutcome.COMPLETE), ids.drop(2).map { cache[it]!!.answer.outcome })
        }
    }
}
