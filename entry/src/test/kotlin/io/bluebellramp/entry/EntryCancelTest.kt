package io.bluebellramp.entry

import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.TaskStatus
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Cancelled jobs and broken connections, in virtual time. */
class EntryCancelTest {
    private val driver = CoreDriver()

    @Nested
    inner class `A cancelled job` {
        @Test
        fun `costs one frame an agent`() {
            driver.lease()
            val links = listOf(driver.agent("a1", slots = 4), driver.agent("a2", slots = 4))
            val id = driver.submit(40)
            links.forEach { driver.drain(it) }
            driver.step { cancel(id, it) }
            assertEquals(listOf(4, 4), links.map { driver.drain(it)!!.cancels.size })
            assertEquals(listOf(null, null), links.map { driver.drain(it) })
            assertEquals(0, driver.core.waiting)
        }

        @Test
        fun `has not run if every dispatched attempt is proved not to have started`() {
            driver.lease()
            val link = driver.agent(slots = 2)
            val id = driver.submit(3)
            val dispatches = driver.drain(link)!!.dispatches
            driver.step { cancel(id, it) }
            driver.report(link, dispatches.take(1), TaskStatus.NOT_RUN)
            assertNull(driver.answer(id))
            driver.report(link, dispatches.drop(1), TaskStatus.NOT_RUN)
            assertEquals(AnswerOutcome.NOT_RUN, driver.answer(id)?.outcome)
        }

        @Test
        fun `has failed with an unknown number if an agent does not answer`() {
            driver.lease()
            val link = driver.agent(slots = 2)
            val id = driver.submit(3)
            driver.drain(link)
            driver.step { cancel(id, it) }
            driver.pass(100)
            assertEquals(2, driver.drain(link)!!.inquiries.size)
            driver.pass(1_100)
            assertEquals(AnswerOutcome.FAILED, driver.answer(id)?.outcome)
            assertNull(driver.answer(id)?.startedTasks)
        }

        @Test
        fun `has failed if an attempt runs`() {
            driver.lease()
            val link = driver.agent(slots = 1)
            val id = driver.submit(3)
            val dispatches = driver.drain(link)!!.dispatches
            driver.step { cancel(id, it) }
            driver.report(link, dispatches, TaskStatus.RUNNING)
            assertEquals(AnswerOutcome.FAILED to 1, driver.answer(id)?.outcome to driver.answer(id)?.startedTasks)
        }
    }

    @Nested
    inner class `A broken connection` {
        @Test
        fun `leads to an inquiry when the same run comes back`() {
            driver.lease()
            val link = driver.agent(slots = 2)
            driver.submit(2)
            val dispatches = driver.drain(link)!!.dispatches
            driver.step { closed(link, it) }
            driver.pass(1_000)
            val again = driver.drain(driver.agent())!!
            assertEquals(dispatches.map { it.task }, again.inquiries.map { it.task })
            assertTrue(again.dispatches.isEmpty())
        }

        @Test
        fun `makes the outcome unknown when another run comes back, or none`() {
            listOf("another run", "none").forEach { case ->
                val driver = CoreDriver()
                driver.lease()
                val link = driver.agent(slots = 2)
                val id = driver.submit(2)
                driver.drain(link)
                driver.step { closed(link, it) }
                if (case == "none") {
                    driver.pass(1_900)
                    driver.lease()
                    driver.pass(1_900)
                    driver.lease()
                    assertNull(driver.answer(id))
                    driver.pass(1_900)
                } else {
                    driver.agent(run = "run-2")
                }
                assertEquals(AnswerOutcome.FAILED to null, driver.answer(id)?.outcome to driver.answer(id)?.startedTasks, case)
            }
        }

        @Test
        fun `moves on what had not been sent`() {
            driver.lease()
            val link = driver.agent(slots = 2)
            val id = driver.submit(2)
            driver.step { closed(link, it) }
            val other = driver.agent("a2", slots = 2)
            driver.report(other, driver.drain(other)!!.dispatches, TaskStatus.DONE)
            assertEquals(AnswerOutcome.COMPLETE, driver.answer(id)?.outcome)
        }
    }
}
