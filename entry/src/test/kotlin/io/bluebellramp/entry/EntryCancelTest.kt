package io.bluebellramp.entry

import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.TaskStatus
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Cancelled jobs and lost connections, in virtual time. */
class EntryCancelTest {
    private val driver = CoreDriver()

    @Nested
    inner class `A cancelled job` {
        @Test
        fun `takes one frame for each agent`() {
            driver.renewLease()
            val links = listOf(driver.connectAgent("a1", slots = 4), driver.connectAgent("a2", slots = 4))
            val id = driver.submit(40)
            links.forEach { driver.takeFrame(it) }
            driver.step { cancel(id, it) }
            assertEquals(listOf(4, 4), links.map { driver.takeFrame(it)!!.cancels.size })
            assertEquals(listOf(null, null), links.map { driver.takeFrame(it) })
            assertEquals(0, driver.core.waiting)
        }

        @Test
        fun `has not run if every dispatched attempt is known not to have started`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 2)
            val id = driver.submit(3)
            val dispatches = driver.takeFrame(link)!!.dispatches
            driver.step { cancel(id, it) }
            driver.report(link, dispatches.take(1), TaskStatus.NOT_RUN)
            assertNull(driver.answer(id))
            driver.report(link, dispatches.drop(1), TaskStatus.NOT_RUN)
            assertEquals(AnswerOutcome.NOT_RUN, driver.answer(id)?.outcome)
        }

        @Test
        fun `has failed with an unknown number of started tasks if an agent does not reply`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 2)
            val id = driver.submit(3)
            driver.takeFrame(link)
            driver.step { cancel(id, it) }
            driver.advance(100)
            assertEquals(2, driver.takeFrame(link)!!.inquiries.size)
            driver.advance(1_100)
            assertEquals(AnswerOutcome.FAILED, driver.answer(id)?.outcome)
            assertNull(driver.answer(id)?.startedTasks)
        }

        @Test
        fun `has failed if an attempt is running`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 1)
            val id = driver.submit(3)
            val dispatches = driver.takeFrame(link)!!.dispatches
            driver.step { cancel(id, it) }
            driver.report(link, dispatches, TaskStatus.RUNNING)
            assertEquals(AnswerOutcome.FAILED to 1, driver.answer(id)?.outcome to driver.answer(id)?.startedTasks)
        }
    }

    @Nested
    inner class `A lost connection` {
        @Test
        fun `leads to an inquiry when the same incarnation reconnects`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 2)
            driver.submit(2)
            val dispatches = driver.takeFrame(link)!!.dispatches
            driver.step { onDisconnected(link, it) }
            driver.advance(1_000)
            val again = driver.takeFrame(driver.connectAgent())!!
            assertEquals(dispatches.map { it.task }, again.inquiries.map { it.task })
            assertTrue(again.dispatches.isEmpty())
        }

        @Test
        fun `makes the outcome unknown if another incarnation connects or none does`() {
            listOf("another run", "none").forEach { case ->
                val driver = CoreDriver()
                driver.renewLease()
                val link = driver.connectAgent(slots = 2)
                val id = driver.submit(2)
                driver.takeFrame(link)
                driver.step { onDisconnected(link, it) }
                if (case == "none") {
                    driver.advance(1_900)
                    driver.renewLease()
                    driver.advance(1_900)
                    driver.renewLease()
                    assertNull(driver.answer(id))
                    driver.advance(1_900)
                } else {
                    driver.connectAgent(incarnation = "run-2")
                }
                assertEquals(AnswerOutcome.FAILED to null, driver.answer(id)?.outcome to driver.answer(id)?.startedTasks, case)
            }
        }

        @Test
        fun `lets attempts that were not sent run at another agent`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 2)
            val id = driver.submit(2)
            driver.step { onDisconnected(link, it) }
            val other = driver.connectAgent("a2", slots = 2)
            driver.report(other, driver.takeFrame(other)!!.dispatches, TaskStatus.DONE)
            assertEquals(AnswerOutcome.COMPLETE, driver.answer(id)?.outcome)
        }
    }
}
