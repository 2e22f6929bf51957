package io.bluebellramp.entry

import io.bluebellramp.core.Address
import io.bluebellramp.core.EntryId
import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.Revision
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.AgentFrame
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.Credits
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

class EntryCoreTest {
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

    @Nested
    inner class `Too much work` {
        private fun refusal(id: SubmissionId) = driver.answer(id)?.let { it.outcome to it.error?.code }

        @Test
        fun `is refused as not run by the queue's bound and by the team's quota`() {
            driver.lease()
            assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.QUEUE_FULL, refusal(driver.submit(101)))
            assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.QUOTA_EXCEEDED, refusal(driver.submit(11, team = "brekke")))
        }

        @Test
        fun `of one team leaves the slots to others`() {
            driver.lease(entries = 3)
            val link = driver.agent(slots = 8)
            val id = driver.submit(6, team = "brekke")
            driver.submit(3)
            val dispatches = driver.drain(link)!!.dispatches
            assertEquals(
                2 to 3,
                dispatches.count { it.submission == id } to dispatches.count { it.submission != id },
                "4 over 3 entries is 2",
            )
        }

        @Test
        fun `is refused when its deadline cannot be met`() {
            driver.lease()
            val link = driver.agent(slots = 4)
            repeat(10) {
                driver.submit(4)
                driver.report(link, driver.drain(link)!!.dispatches, TaskStatus.DONE, credits = 4, ranMicros = 500_000)
            }
            assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.DEADLINE_UNREACHABLE, refusal(driver.submit(80, deadlineMillis = 1_000)))
        }

        @Test
        fun `has not run when its deadline passes`() {
            driver.lease()
            val id = driver.submit(2, deadlineMillis = 100)
            driver.pass(101)
            assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.DEADLINE_PASSED, refusal(id))
        }

        @Test
        fun `is refused as not run by an entry that is leaving`() {
            driver.lease()
            driver.core.leave()
            assertEquals(AnswerOutcome.NOT_RUN to ErrorCode.LEAVING, refusal(driver.submit()))
        }
    }
}
