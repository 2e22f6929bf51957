package io.bluebellramp.entry

import io.bluebellramp.core.Revision
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.PermitRequest
import io.bluebellramp.messages.TaskStatus
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNotNull
import kotlin.test.assertNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Permits and leases of an entry, in virtual time. */
class EntryLeaseTest {
    private val driver = CoreDriver()

    private fun request(
        link: LinkId,
        sequence: Long,
        revision: Long,
    ) = driver.frame(link, AgentFrame(permitRequest = PermitRequest(sequence, Revision(revision))))

    private fun oldestPermit() =
        driver.core
            .leaseRequest(waitMillis = 0, leaving = false, now = driver.now)
            .oldestPermit.value

    @Nested
    inner class `A permit` {
        @Test
        fun `lasts as long as its lease from the moment the lease was asked for`() {
            driver.now = 1_500.milliseconds
            driver.lease(sent = Duration.ZERO)
            val link = driver.agent()
            request(link, sequence = 7, revision = 0)
            val permit = assertNotNull(driver.drain(link)?.permit)
            assertEquals(500, permit.validMillis)
            assertEquals(7, permit.sequence)
            assertEquals(4, permit.slots, "the overlay of the site counts")
        }

        @Test
        fun `is not given without a live lease`() {
            driver.lease()
            val link = driver.agent()
            driver.pass(2_000)
            request(link, sequence = 1, revision = 0)
            assertNull(driver.drain(link)?.permit)
        }

        @Test
        fun `is not given to an agent that has seen a greater revision`() {
            driver.lease()
            val link = driver.agent()
            request(link, sequence = 1, revision = 2)
            assertNull(driver.drain(link)?.permit)
        }

        @Test
        fun `is renewed at once under a new revision`() {
            driver.lease()
            val link = driver.agent()
            request(link, sequence = 1, revision = 0)
            driver.drain(link)
            driver.lease(revision = 2, zonesOut = listOf("bergen-a"))
            val permit = assertNotNull(driver.drain(link)?.permit)
            assertEquals(listOf(1L, 2L), listOf(permit.sequence, permit.revision.value))
            assertTrue(!permit.inService)
        }

        @Test
        fun `holds back the reported revision until it is dead or replaced`() {
            driver.lease()
            val first = driver.agent("a1")
            val second = driver.agent("a2")
            listOf(first, second).forEach {
                request(it, sequence = 1, revision = 0)
                driver.drain(it)
            }
            driver.pass(500)
            driver.lease(revision = 2)
            assertEquals(1, oldestPermit())
            request(first, sequence = 2, revision = 2)
            assertEquals(1, oldestPermit(), "the second agent may still hold the old one")
            driver.pass(1_600)
            assertEquals(2, oldestPermit())
        }
    }

    @Nested
    inner class `A lease` {
        @Test
        fun `with a lower revision is ignored`() {
            driver.lease(revision = 3)
            driver.pass(1_000)
            driver.lease(revision = 2)
            driver.pass(1_000)
            assertTrue(!driver.core.lease.isLive(driver.now))
            assertEquals(3, driver.core.lease.revision.value)
        }

        @Test
        fun `that is missing makes the entry refuse`() {
            assertEquals(ErrorCode.NOT_READY, assertIs<Reply.Refused>(driver.replies[driver.submit()]).error.code)
        }

        @Test
        fun `that lapsed holds an answer back until the claim is confirmed`() {
            driver.lease()
            val link = driver.agent(slots = 4)
            val id = driver.submit(1)
            val dispatches = driver.drain(link)!!.dispatches
            driver.grantsClaims = false
            driver.pass(2_100)
            driver.report(link, dispatches, TaskStatus.DONE)
            assertNull(driver.answer(id))
            driver.lease()
            assertNull(driver.answer(id))
            assertEquals(id, driver.claims.last().submission)
            driver.step { claimed(id, ClaimResult.Granted, it) }
            assertEquals(AnswerOutcome.COMPLETE, driver.answer(id)?.outcome)
        }
    }
}
