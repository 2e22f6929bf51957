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

/** Credits and tasks, in virtual time. */
class EntryDispatchTest {
    private val driver = CoreDriver()

    @Nested
    inner class `Credits` {
        @Test
        fun `that are recalled are returned at once as far as they are unspent`() {
            driver.lease()
            val link = driver.agent(slots = 4)
            driver.submit(3)
            driver.drain(link)
            driver.frame(link, AgentFrame(recalled = Credits(slots = 4)))
            assertEquals(Credits(slots = 1), driver.drain(link)?.returned)
        }

        @Test
        fun `of a zone that left service are returned and not spent`() {
            driver.lease()
            val link = driver.agent(slots = 4)
            driver.lease(revision = 2, zonesOut = listOf("bergen-a"))
            driver.submit(3)
            val frame = assertNotNull(driver.drain(link))
            assertEquals(Credits(slots = 4), frame.returned)
            assertTrue(frame.dispatches.isEmpty())
        }

        @Test
        fun `bound what is dispatched, and demand says what waits`() {
            driver.lease()
            val link = driver.agent(slots = 2)
            driver.submit(5)
            val frame = assertNotNull(driver.drain(link))
            assertEquals(2, frame.dispatches.size)
            assertEquals(3 to 5, frame.demand?.tasks to frame.demand?.tasksLeft)
        }
    }

    @Nested
    inner class `A task` {
        @Test
        fun `that did not run is tried again with the next number`() {
            driver.lease()
            val link = driver.agent(slots = 1)
            val id = driver.submit(1)
            driver.report(link, driver.drain(link)!!.dispatches, TaskStatus.NOT_RUN, credits = 1)
            val again = driver.drain(link)!!.dispatches
            assertEquals(listOf(1), again.map { it.attempt })
            driver.report(link, again, TaskStatus.DONE)
            assertEquals(AnswerOutcome.COMPLETE, driver.answer(id)?.outcome)
        }

        @Test
        fun `with an outcome that was not asked for stays open, and the outcome is counted`() {
            driver.lease()
            val link = driver.agent(slots = 2)
            val id = driver.submit(1)
            val dispatch = driver.drain(link)!!.dispatches.single()
            val other = driver.agent("a2")
            val wrong = listOf(dispatch.copy(attempt = 1), dispatch.copy(task = 1), dispatch.copy(submission = driver.submit(1)))
            wrong.take(2).forEach { driver.report(link, listOf(it), TaskStatus.DONE) }
            driver.report(other, listOf(dispatch, wrong[2]), TaskStatus.DONE)
            assertNull(driver.answer(id))
            assertEquals(4, driver.core.counters.wasted[Waste.DUPLICATE_ANSWER])
        }

        @Test
        fun `that fails ends the job, with the number of started tasks`() {
            driver.lease()
            val link = driver.agent(slots = 2)
            val id = driver.submit(5)
            val (first, second) = driver.drain(link)!!.dispatches
            driver.report(link, listOf(first), TaskStatus.ERROR, credits = 1)
            val frame = driver.drain(link)!!
            assertEquals(listOf(second.task), frame.cancels.map { it.task })
            assertTrue(frame.dispatches.isEmpty(), "waiting tasks are dropped at once")
            assertNull(driver.answer(id))
            driver.report(link, listOf(second), TaskStatus.NOT_RUN)
            assertEquals(AnswerOutcome.FAILED to 1, driver.answer(id)?.outcome to driver.answer(id)?.startedTasks)
        }

        @Test
        fun `that is idempotent and fails is tried again within the budget`() {
            driver.lease()
            val link = driver.agent(slots = 8)
            driver.submit(100, idempotent = true)
            var retries = 0
            repeat(30) {
                val dispatches = driver.drain(link)?.dispatches.orEmpty()
                retries += dispatches.count { it.attempt > 0 }
                driver.report(link, dispatches, TaskStatus.ERROR, credits = dispatches.size)
            }
            assertTrue(retries in 1..10, "$retries retries")
        }
    }
}
