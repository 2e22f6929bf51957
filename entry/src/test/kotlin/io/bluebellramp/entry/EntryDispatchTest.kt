package io.bluebellramp.entry

import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.Credits
import io.bluebellramp.messages.TaskStatus
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Credits and dispatch of tasks, in virtual time. */
class EntryDispatchTest {
    private val driver = CoreDriver()

    @Nested
    inner class `Credits` {
        @Test
        fun `are returned at once when recalled, unless they are spent`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 4)
            driver.submit(3)
            driver.takeFrame(link)
            driver.onFrame(link, AgentFrame(recalled = Credits(slots = 4)))
            assertEquals(Credits(slots = 1), driver.takeFrame(link)?.returned)
        }

        @Test
        fun `of a zone that is taken out of service are returned and not spent`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 4)
            driver.renewLease(revision = 2, zonesOut = listOf("bergen-a"))
            driver.submit(3)
            val frame = assertNotNull(driver.takeFrame(link))
            assertEquals(Credits(slots = 4), frame.returned)
            assertTrue(frame.dispatches.isEmpty())
        }

        @Test
        fun `limit the number of dispatched tasks, and the demand states what waits`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 2)
            driver.submit(5)
            val frame = assertNotNull(driver.takeFrame(link))
            assertEquals(2, frame.dispatches.size)
            assertEquals(3 to 5, frame.demand?.tasks to frame.demand?.tasksLeft)
        }
    }

    @Nested
    inner class `A task` {
        @Test
        fun `that did not run is attempted again with the next attempt number`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 1)
            val id = driver.submit(1)
            driver.report(link, driver.takeFrame(link)!!.dispatches, TaskStatus.NOT_RUN, credits = 1)
            val again = driver.takeFrame(link)!!.dispatches
            assertEquals(listOf(1), again.map { it.attempt })
            driver.report(link, again, TaskStatus.DONE)
            assertEquals(AnswerOutcome.COMPLETE, driver.answer(id)?.outcome)
        }

        @Test
        fun `is not ended by an outcome of an unknown attempt, which is counted`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 2)
            val id = driver.submit(1)
            val dispatch = driver.takeFrame(link)!!.dispatches.single()
            val other = driver.connectAgent("a2")
            val wrong = listOf(dispatch.copy(attempt = 1), dispatch.copy(task = 1), dispatch.copy(submission = driver.submit(1)))
            wrong.take(2).forEach { driver.report(link, listOf(it), TaskStatus.DONE) }
            driver.report(other, listOf(dispatch, wrong[2]), TaskStatus.DONE)
            assertNull(driver.answer(id))
            assertEquals(4, driver.core.counters.wasted[WastedMessage.DUPLICATE_ANSWER])
        }

        @Test
        fun `ends the job with the number of started tasks if it fails`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 2)
            val id = driver.submit(5)
            val (first, second) = driver.takeFrame(link)!!.dispatches
            driver.report(link, listOf(first), TaskStatus.ERROR, credits = 1)
            val frame = driver.takeFrame(link)!!
            assertEquals(listOf(second.task), frame.cancels.map { it.task })
            assertTrue(frame.dispatches.isEmpty(), "waiting tasks are dropped at once")
            assertNull(driver.answer(id))
            driver.report(link, listOf(second), TaskStatus.NOT_RUN)
            assertEquals(AnswerOutcome.FAILED to 1, driver.answer(id)?.outcome to driver.answer(id)?.startedTasks)
        }

        // Guards against a task that runs twice at once because the time of its call has passed while the target is still at work on it.
        @Test
        fun `is not attempted again if its outcome is unknown, as after a call that ran out of time`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 1)
            val id = driver.submit(1)
            driver.report(link, driver.takeFrame(link)!!.dispatches, TaskStatus.UNKNOWN, credits = 1)
            assertEquals(emptyList(), driver.takeFrame(link)?.dispatches.orEmpty())
            assertEquals(AnswerOutcome.FAILED, driver.answer(id)?.outcome)
        }

        @Test
        fun `is retried within the retry budget if it is idempotent and fails`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 8)
            driver.submit(100, idempotent = true)
            var retries = 0
            repeat(30) {
                val dispatches = driver.takeFrame(link)?.dispatches.orEmpty()
                retries += dispatches.count { it.attempt > 0 }
                driver.report(link, dispatches, TaskStatus.ERROR, credits = dispatches.size)
            }
            assertTrue(retries in 1..10, "$retries retries")
        }
    }
}
