package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.TaskStatus
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertNull
import kotlin.test.assertTrue

/** Takeover of submissions whose owner is gone, in virtual time. */
class EntryOwnershipTest {
    private val driver = CoreDriver()

    @Nested
    inner class `An entry that waits for an owner which is gone` {
        private fun held(entry: String) =
            ClaimResult.Held(ClaimHolder(EntryId(entry), IncarnationId("run-$entry"), Address("127.0.0.1:2")), "d")

        private fun lookup(id: SubmissionId) = driver.core.lookup(id)

        @Test
        fun `takes over after 3 s, answers that the outcome is unknown, and never claims the submission for itself`() {
            driver.grantsClaims = false
            driver.renewLease()
            val id = driver.submit()
            driver.step { onClaimResult(id, held("e8"), it) }
            repeat(32) {
                driver.advance(100)
                driver.renewLease()
                driver.step { now -> onOwnerReply(id, OwnerReply.NoAnswer, now) }
                assertEquals(
                    if (it < 31) null else "run-e8",
                    driver.claims
                        .last()
                        .takeover
                        ?.value,
                    "after ${it + 1} tries",
                )
            }
            val released = driver.releases.size
            assertIs<LookupResult.Lost>(lookup(id), "others are told at once")
            driver.step { onClaimResult(id, held("e9"), it) }
            driver.step { onOwnerReply(id, OwnerReply.NotOwner, it) }
            assertEquals(AnswerOutcome.FAILED to ErrorCode.OWNER_LOST, driver.answer(id)?.outcome to driver.answer(id)?.error?.code)
            driver.step { releaseUnknown(id) }
            assertEquals(2 to released, driver.claims.size to driver.releases.size)
        }
    }

    @Nested
    inner class `An owner whose submission was taken over` {
        @Test
        fun `answers failed with an unknown number of started tasks and starts nothing more`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 1)
            val id = driver.submit(2)
            val dispatches = driver.takeFrame(link)!!.dispatches
            driver.grantsClaims = false
            driver.advance(2_100)
            driver.renewLease()
            driver.step {
                onClaimResult(
                    id,
                    ClaimResult.Held(ClaimHolder(EntryId("e2"), IncarnationId("run-9"), Address("127.0.0.1:2")), "d"),
                    it,
                )
            }
            assertEquals(AnswerOutcome.FAILED to ErrorCode.OWNER_LOST, driver.answer(id)?.outcome to driver.answer(id)?.error?.code)
            assertNull(driver.answer(id)?.startedTasks)
            driver.report(link, dispatches, TaskStatus.DONE, credits = 1)
            assertTrue(driver.takeFrame(link)!!.dispatches.isEmpty())
        }
    }
}
