package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.TaskReference
import org.junit.jupiter.api.Nested
import java.time.Instant
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.toJavaDuration

class StartLedgerTest {
    private val clock = ManualClock()
    private val ledger = StartLedger(clock, AgentOptions())

    @Nested
    inner class `A later attempt` {
        @Test
        fun `starts only if the earlier one provably did not start, or if the task is idempotent`() {
            class Case(
                val before: (TaskReference) -> Unit,
                val idempotent: Boolean,
                val refusal: Refusal?,
            )
            val cases =
                mapOf(
                    "after a fence" to Case({ ledger.fence(it) }, idempotent = false, refusal = null),
                    "while queued" to Case({ ledger.admit(it, false) }, idempotent = false, refusal = Refusal.ALREADY_STARTED),
                    "while queued, idempotent" to Case({ ledger.admit(it, false) }, idempotent = true, refusal = null),
                    "after a start" to Case({ admitAndStart(it) }, idempotent = false, refusal = Refusal.ALREADY_STARTED),
                    "after a start, idempotent" to Case({ admitAndStart(it) }, idempotent = true, refusal = null),
                    "after a revoked start" to
                        Case({
                            admitAndStart(it)
                            ledger.revoke(it)
                        }, idempotent = false, refusal = null),
                )
            cases.forEach { (name, case) ->
                val first = reference()
                case.before(first)
                assertEquals(case.refusal, ledger.admit(first.copy(attempt = 1), case.idempotent), name)
            }
        }
    }

    @Nested
    inner class `A repeated attempt number` {
        @Test
        fun `never starts`() {
            val task = reference(attempt = 2)
            admitAndStart(task)
            assertEquals(Refusal.ALREADY_STARTED, ledger.admit(task, idempotent = true))
            assertEquals(Refusal.EARLIER_ATTEMPT, ledger.admit(task.copy(attempt = 1), idempotent = true))
            ledger.fence(task.copy(attempt = 3))
            assertEquals(Refusal.FENCED, ledger.admit(task.copy(attempt = 3), idempotent = true))
        }
    }

    @Nested
    inner class Storage {
        @Test
        fun `is released one submission TTL after the time in the id`() {
            repeat(1000) { admitAndStart(reference()) }
            clock.now += 9.minutes
            ledger.expire()
            assertEquals(1000, ledger.size)
            clock.now += 2.minutes
            ledger.expire()
            assertEquals(0, ledger.size)
            assertEquals(0, ledger.bytes)
        }

        @Test
        fun `that was released does not accept the task again when the wall clock moves back`() {
            val wall = AdjustableWallClock()
            val adjustedLedger = StartLedger(wall, AgentOptions())
            val task = reference()
            assertNull(adjustedLedger.admit(task, idempotent = false))
            wall.offset = 12.minutes
            adjustedLedger.expire()
            wall.offset = Duration.ZERO
            assertEquals(Refusal.ID_OUT_OF_TIME, adjustedLedger.admit(task, idempotent = false))
        }

        @Test
        fun `returns the last value stored for each task`() {
            val random = Random(1)
            val expected = HashMap<TaskKey, Int>()
            val map = TaskIntMap()
            repeat(20_000) {
                val key = TaskKey(random.nextLong(8), random.nextLong(4), random.nextInt(1000))
                val value = random.nextInt(1, 100)
                expected[key] = value
                map.put(key, value)
            }
            assertEquals(expected.size, map.size)
            expected.forEach { (key, value) -> assertEquals(value, map.get(key)) }
        }
    }

    private class AdjustableWallClock : Clock {
        var offset = Duration.ZERO

        override fun monotonic() = Duration.ZERO

        override fun wall(): Instant = ManualClock.BASE.plus(offset.toJavaDuration())
    }

    private fun reference(attempt: Int = 0) = TaskReference(SubmissionId.create(clock.wall()), task = 0, attempt = attempt)

    private fun admitAndStart(reference: TaskReference) {
        ledger.admit(reference, idempotent = false)
        ledger.start(reference)
    }
}
