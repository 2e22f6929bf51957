package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.TaskStatus
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals

/** Admission control of an entry, in virtual time. */
class EntryAdmissionTest {
    private val driver = CoreDriver()

    @Nested
    inner class `A submission` {
        private fun outcomeAndCode(id: SubmissionId) = driver.answer(id)?.let { it.outcome to it.error?.code }

        @Test
        fun `is refused as not run if the queue is full or the quota of its team is exhausted`() {
            driver.renewLease()
            assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.QUEUE_FULL, outcomeAndCode(driver.submit(101)))
            assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.QUOTA_EXCEEDED, outcomeAndCode(driver.submit(11, team = "brekke")))
        }

        @Test
        fun `of one team leaves slots to other teams`() {
            driver.renewLease(entries = 3)
            val link = driver.connectAgent(slots = 8)
            val id = driver.submit(6, team = "brekke")
            driver.submit(3)
            val dispatches = driver.takeFrame(link)!!.dispatches
            assertEquals(
                2 to 3,
                dispatches.count { it.submission == id } to dispatches.count { it.submission != id },
                "4 over 3 entries is 2",
            )
        }

        @Test
        fun `is refused if its deadline can't be met`() {
            driver.renewLease()
            val link = driver.connectAgent(slots = 4)
            repeat(10) {
                driver.submit(4)
                driver.report(link, driver.takeFrame(link)!!.dispatches, TaskStatus.DONE, credits = 4, ranMicros = 500_000)
            }
            assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.DEADLINE_UNREACHABLE, outcomeAndCode(driver.submit(80, deadlineMillis = 1_000)))
        }

        @Test
        fun `has not run if its deadline passes before a task starts`() {
            driver.renewLease()
            val id = driver.submit(2, deadlineMillis = 100)
            driver.advance(101)
            assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.DEADLINE_PASSED, outcomeAndCode(id))
        }

        @Test
        fun `is refused without a claim during shutdown, so that another entry may accept it`() {
            driver.renewLease()
            driver.core.refuseNewSubmissions()
            val reply = driver.replies[driver.submit()]
            assertEquals(ErrorCode.LEAVING, (reply as Reply.Refused).error.code)
            assertEquals(emptyList(), driver.claims)
        }
    }
}
