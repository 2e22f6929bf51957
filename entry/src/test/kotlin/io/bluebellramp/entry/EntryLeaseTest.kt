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

/** Leases of an entry and the permits that it issues, in virtual time. */
class EntryLeaseTest {
    private val driver = CoreDriver()

    private fun requestPermit(
        link: LinkId,
        sequence: Long,
        revision: Long,
    ) = driver.onFrame(link, AgentFrame(permitRequest = PermitRequest(sequence, Revision(revision))))

    private fun oldestPermit() =
        driver.core
            .leaseRequest(waitMillis = 0, leaving = false, now = driver.now)
            .oldestPermit.value

    @Nested
    inner class `A permit` {
        @Test
        fun `expires with the lease, whose duration counts from the time of its request`() {
            driver.now = 1_500.milliseconds
            driver.renewLease(sent = Duration.ZERO)
            val link = driver.connectAgent()
            requestPermit(link, sequence = 7, revision = 0)
            val permit = assertNotNull(driver.takeFrame(link)?.permit)
            assertEquals(500, permit.validMillis)
            assertEquals(7, permit.sequence)
            assertEquals(4, permit.slots, "the overlay of the site counts")
        }

        @Test
        fun `is not issued without a valid lease`() {
            driver.renewLease()
            val link = driver.connectAgent()
            driver.advance(2_000)
            requestPermit(link, sequence = 1, revision = 0)
            assertNull(driver.takeFrame(link)?.permit)
        }

        @Test
        fun `is not issued to an agent that has seen a greater revision`() {
            driver.renewLease()
            val link = driver.connectAgent()
            requestPermit(link, sequence = 1, revision = 2)
            assertNull(driver.takeFrame(link)?.permit)
        }

        @Test
        fun `is renewed at once when the revision increases`() {
            driver.renewLease()
            val link = driver.connectAgent()
            requestPermit(link, sequence = 1, revision = 0)
            driver.takeFrame(link)
            driver.renewLease(revision = 2, zonesOut = listOf("bergen-a"))
            val permit = assertNotNull(driver.takeFrame(link)?.permit)
            assertEquals(listOf(1L, 2L), listOf(permit.sequence, permit.revision.value))
            assertTrue(!permit.inService)
        }

        @Test
        fun `limits the reported oldest revision until it expires or is replaced`() {
            driver.renewLease()
            val first = driver.connectAgent("a1")
            val second = driver.connectAgent("a2")
            listOf(first, second).forEach {
                requestPermit(it, sequence = 1, revision = 0)
                driver.takeFrame(it)
            }
            driver.advance(500)
            driver.renewLease(revision = 2)
            assertEquals(1, oldestPermit())
            requestPermit(first, sequence = 2, revision = 2)
            assertEquals(1, oldestPermit(), "the second agent may still hold the old one")
            driver.advance(1_600)
            assertEquals(2, oldestPermit())
        }
    }

    @Nested
    inner class `A lease` {
        @Test
        fun `with a lower revision is ignored`() {
            driver.renewLease(revision = 3)
            driver.advance(1_000)
            driver.renewLease(revision = 2)
            driver.advance(1_000)
            assertTrue(!driver.core.lease.isLive(driver.now))
            assertEquals(3, driver.core.lease.revision.value)
        }

        @Test
        fun `is required to accept submissions`() {
            assertEquals(ErrorCode.NOT_READY, assertIs<Reply.Refused>(driver.replies[driver.submit()]).error.code)
        }

        @Test
        fun `that expired delays answers until the claim is confirmed`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 4)
            val id = driver.submit(1)
            val dispatches = driver.takeFrame(link)!!.dispatches
            driver.grantsClaims = false
            driver.advance(2_100)
            driver.report(link, dispatches, TaskStatus.DONE)
            assertNull(driver.answer(id))
            driver.renewLease()
            assertNull(driver.answer(id))
            assertEquals(id, driver.claims.last().submission)
            driver.step { onClaimResult(id, ClaimResult.Granted, it) }
            assertEquals(AnswerOutcome.COMPLETE, driver.answer(id)?.outcome)
        }
    }
}
