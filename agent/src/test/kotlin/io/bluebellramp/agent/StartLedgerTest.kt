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
        fun `starts only after proof, or if it may run twice`() {
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
    inner class `A number that is used again` {
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
    inner class Memory {
        @Test
        fun `is given back one life after the time in the id`() {
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
        fun `that was given back stays refused when the wall clock goes back`() {
            val wall = SteppedClock()
            val stepped = StartLedger(wall, AgentOptions())
            val task = reference()
            assertNull(stepped.admit(task, idempotent = false))
            wall.offset = 12.minutes
            stepped.expire()
            wall.offset = Duration.ZERO
            assertEquals(Refusal.ID_OUT_OF_TIME, stepped.admit(task, idempotent = false))
        }

        @Test
        fun `is flat and small`() {
            val random = Random(1)
            val kept = HashMap<TaskKey, Int>()
            val table = StartTable()
            repeat(20_000) {
                val key = TaskKey(random.nextLong(8), random.nextLong(4), random.nextInt(1000))
                val value = random.nextInt(1, 100)
                kept[key] = value
                table.put(key, value)
            }
            assertEquals(kept.size, table.size)
            kept.forEach { (key, value) -> assertEquals(value, table.get(key)) }
        }
    }

    private class SteppedClock : Clock {
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
