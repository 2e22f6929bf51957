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

/** Submissions whose owner is gone, in virtual time. */
class EntryOwnershipTest {
    private val driver = CoreDriver()

    @Nested
    inner class `An entry that joined an owner which is gone` {
        private fun held(entry: String) =
            ClaimResult.Held(ClaimHolder(EntryId(entry), IncarnationId("run-$entry"), Address("127.0.0.1:2")), "d")

        private fun lookup(id: SubmissionId) = driver.core.lookup(id)

        @Test
        fun `takes over after 3 s, says that the outcome is unknown, and never claims it for itself`() {
            driver.grantsClaims = false
            driver.lease()
            val id = driver.submit()
            driver.step { claimed(id, held("e8"), it) }
            repeat(32) {
                driver.pass(100)
                driver.lease()
                driver.step { now -> followed(id, FollowResult.NoAnswer, now) }
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
            assertIs<Lookup.Lost>(lookup(id), "others are told at once")
            driver.step { claimed(id, held("e9"), it) }
            driver.step { followed(id, FollowResult.NotOwner, it) }
            assertEquals(AnswerOutcome.FAILED to ErrorCode.OWNER_LOST, driver.answer(id)?.outcome to driver.answer(id)?.error?.code)
            driver.step { releaseUnknown(id) }
            assertEquals(2 to released, driver.claims.size to driver.releases.size)
        }
    }

    @Nested
    inner class `An owner that was taken over` {
        @Test
        fun `says failed with an unknown number and starts nothing more`() {
            driver.lease()
            val link = driver.agent(slots = 1)
            val id = driver.submit(2)
            val dispatches = driver.drain(link)!!.dispatches
            driver.grantsClaims = false
            driver.pass(2_100)
            driver.lease()
            driver.step {
                claimed(
                    id,
                    ClaimResult.Held(ClaimHolder(EntryId("e2"), IncarnationId("run-9"), Address("127.0.0.1:2")), "d"),
                    it,
                )
            }
            assertEquals(AnswerOutcome.FAILED to ErrorCode.OWNER_LOST, driver.answer(id)?.outcome to driver.answer(id)?.error?.code)
            assertNull(driver.answer(id)?.startedTasks)
            driver.report(link, dispatches, TaskStatus.DONE, credits = 1)
            assertTrue(driver.drain(link)!!.dispatches.isEmpty())
        }
    }
}
