package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.QueueWork
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskEvent
import io.bluebellramp.messages.TaskReport
import org.junit.jupiter.api.Nested
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class JobSchedulerTest {
    private val clock = FakeClock()
    private val outputs = RecordingJobOutputs()
    private val lostLinkRunTimeout = 1.seconds
    private val scheduler = JobScheduler(clock, outputs, lostLinkRunTimeout, Random(7))
    private val answers = ArrayList<JobAnswer>()
    private val caller = Caller { answers += it }
    private val firstLink = LinkId(1)
    private val secondLink = LinkId(2)

    private fun connectAgents(
        firstLink: LinkId,
        secondLink: LinkId? = null,
    ) = listOfNotNull(firstLink, secondLink).forEach {
        scheduler.linkUp(it, "agent-$it", ZoneId("z$it"))
        scheduler.capacityReported(it, capacityReport())
    }

    private fun report(
        link: LinkId,
        dispatch: StepDispatch,
        event: TaskEvent,
        task: Int = dispatch.tasks.first(),
        reason: String = "",
    ) = scheduler.report(link, TaskReport(dispatch.job, dispatch.step, task, dispatch.attempt, event, reason))

    /** Slow targets are free; fast ones are full, but would end the task earlier. */
    @Nested
    inner class UnevenTargets {
        private fun submitWithReports(isKindNamed: Boolean): LinkId {
            for (number in 1L..8L) {
                val isSlow = number <= 4
                scheduler.linkUp(LinkId(number), "agent-$number", ZoneId("z"))
                val report = if (isSlow) capacityReport() else capacityReport(freeMilliCpu = 0)
                val kind = if (isSlow) "a" else "b"
                scheduler.capacityReported(
                    LinkId(number),
                    report.copy(slowness = if (isSlow) 1.43 else 0.59, kind = if (isKindNamed) kind else ""),
                )
            }
            clock.advance(1.seconds)
            scheduler.tick()
            scheduler.submit(request(), caller)
            return outputs.dispatches.single().first
        }

        @Test
        fun `a free target where the job meets its objective is preferred if kinds differ in speed`() {
            assertTrue(submitWithReports(isKindNamed = true).value <= 4)
        }

        @Test
        fun `agents that name no kind are chosen by the expected end`() {
            assertTrue(submitWithReports(isKindNamed = false).value > 4)
        }
    }

    @Nested
    inner class NormalOperation {
        @Test
        fun `a job is answered once all of its tasks are done`() {
            connectAgents(firstLink)
            scheduler.submit(request(tasks = 2), caller)
            val (link, dispatch) = outputs.dispatches.single()
            assertEquals(listOf(0, 1), dispatch.tasks)
            report(link, dispatch, TaskEvent.DONE, task = 0)
            assertEquals(emptyList(), answers)
            report(link, dispatch, TaskEvent.DONE, task = 1)
            assertEquals(listOf<JobAnswer>(JobAnswer.Completed), answers)
            assertEquals(0, scheduler.openJobs)
        }

        @Test
        fun `a step starts after the steps it depends on`() {
            connectAgents(firstLink)
            val steps = listOf(StepRequest(1, 1000, 64, 50.milliseconds), StepRequest(1, 1000, 64, 50.milliseconds, dependsOn = listOf(0)))
            scheduler.submit(request(steps = steps), caller)
            assertEquals(listOf(0), outputs.dispatches.map { it.second.step })
            report(firstLink, outputs.dispatches.single().second, TaskEvent.DONE)
            assertEquals(listOf(0, 1), outputs.dispatches.map { it.second.step })
        }

        // Guards against tasks that run beside those of the resubmitted job after an agent was lost.
        @Test
        fun `no step is dispatched when another one comes too late`() {
            connectAgents(firstLink, secondLink)
            val steps = listOf(StepRequest(1, 1000, 64, 100.milliseconds), StepRequest(1, 1000, 64, 1400.milliseconds))
            scheduler.submit(request(steps = steps, timeout = 2500.milliseconds), caller)
            val dispatched = outputs.dispatches.size
            scheduler.linkDown(firstLink, clock.monotonic())
            scheduler.linkDown(secondLink, clock.monotonic())
            scheduler.linkUp(LinkId(3), "agent-3", ZoneId("z3"))
            scheduler.capacityReported(LinkId(3), capacityReport())
            clock.advance(1200.milliseconds)
            scheduler.tick()
            assertEquals(dispatched, outputs.dispatches.size)
            assertIs<JobAnswer.Unfinished>(answers.single())
        }

        @Test
        fun `a start that is reported for a job that has ended is stopped`() {
            connectAgents(firstLink)
            scheduler.submit(request(), caller)
            val dispatch = outputs.dispatches.single().second
            scheduler.cancel(dispatch.job)
            report(firstLink, dispatch, TaskEvent.STARTED)
            assertEquals(listOf(firstLink to dispatch.job, firstLink to dispatch.job), outputs.stops)
        }

        @Test
        fun `a submission with the id of an open job joins it`() {
            connectAgents(firstLink)
            scheduler.submit(request(), caller)
            scheduler.submit(request(), caller)
            assertEquals(1, outputs.dispatches.size)
            report(firstLink, outputs.dispatches.single().second, TaskEvent.DONE)
            assertEquals(2, answers.size)
        }
    }

    @Nested
    inner class OutdatedReports {
        @Test
        fun `an agent with an outdated report gets no tasks while another has a recent report`() {
            connectAgents(firstLink, secondLink)
            clock.advance(200.milliseconds)
            scheduler.capacityReported(secondLink, capacityReport())
            scheduler.submit(request(tasks = 8), caller)
            assertEquals(setOf(secondLink), outputs.dispatches.map { it.first }.toSet())
        }

        @Test
        fun `a confirmed report is not outdated`() {
            connectAgents(firstLink, secondLink)
            clock.advance(200.milliseconds)
            scheduler.capacityConfirmed(firstLink)
            scheduler.submit(request(tasks = 8), caller)
            assertEquals(setOf(firstLink), outputs.dispatches.map { it.first }.toSet())
        }

        @Test
        fun `an agent with an outdated report is used if no other is large enough`() {
            connectAgents(firstLink, secondLink)
            clock.advance(200.milliseconds)
            scheduler.capacityReported(secondLink, capacityReport().copy(milliCpu = 500, freeMilliCpu = 500))
            scheduler.submit(request(), caller)
            assertEquals(listOf(firstLink), outputs.dispatches.map { it.first })
        }

        @Test
        fun `a report is not outdated within a heartbeat period`() {
            connectAgents(firstLink, secondLink)
            clock.advance(120.milliseconds)
            scheduler.capacityReported(secondLink, capacityReport())
            scheduler.submit(request(tasks = 16), caller)
            assertEquals(setOf(firstLink, secondLink), outputs.dispatches.map { it.first }.toSet())
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `a job is refused at once if no target can be reached`() {
            scheduler.submit(request(), caller)
            assertIs<JobAnswer.NotRun>(answers.single())
        }

        @Test
        fun `a job that would wait longer than its slack is refused at once and not dispatched`() {
            connectAgents(firstLink)
            scheduler.capacityReported(firstLink, capacityReport(freeMilliCpu = 0, queuedCpuMicros = 32_000L * 500))
            scheduler.submit(request(), caller)
            val answer = assertIs<JobAnswer.NotRun>(answers.single())
            assertTrue(answer.retryAfter > 100.milliseconds)
            assertEquals(emptyList(), outputs.dispatches)
        }

        @Test
        fun `a wide job is refused at once if its last task would start too late, a narrow one is accepted`() {
            connectAgents(firstLink)
            scheduler.capacityReported(firstLink, capacityReport(freeMilliCpu = 6000))
            scheduler.submit(request(tasks = 100), caller)
            assertIs<JobAnswer.NotRun>(answers.single())
            assertEquals(emptyList(), outputs.dispatches)
            scheduler.submit(request(id = "00000000000000a2", tasks = 3), caller)
            assertEquals(1, outputs.dispatches.size)
        }

        @Test
        fun `a job is not placed in a zone that is out of service`() {
            connectAgents(firstLink, secondLink)
            scheduler.setZonesOut(setOf(ZoneId("z1")))
            scheduler.submit(request(tasks = 4), caller)
            assertEquals(setOf(secondLink), outputs.dispatches.map { it.first }.toSet())
        }

        @Test
        fun `a job whose only task was returned as not started is refused as not run`() {
            connectAgents(firstLink)
            scheduler.submit(request(tasks = 1), caller)
            val dispatch = outputs.dispatches.single().second
            clock.advance(170.milliseconds)
            report(firstLink, dispatch, TaskEvent.NOT_STARTED)
            assertIs<JobAnswer.NotRun>(answers.single())
        }

        @Test
        fun `a job with a started task is never refused as not run`() {
            connectAgents(firstLink)
            scheduler.submit(request(tasks = 2), caller)
            val dispatch = outputs.dispatches.single().second
            report(firstLink, dispatch, TaskEvent.STARTED, task = 0)
            clock.advance(1600.milliseconds)
            scheduler.tick()
            assertIs<JobAnswer.Unfinished>(answers.single())
        }

        @Test
        fun `a job whose agent was lost is not refused as not run because it may have started`() {
            connectAgents(firstLink)
            scheduler.submit(request(), caller)
            scheduler.linkDown(firstLink, clock.monotonic())
            clock.advance(1600.milliseconds)
            scheduler.tick()
            assertIs<JobAnswer.Unfinished>(answers.single())
        }
    }

    @Nested
    inner class FullTargets {
        @Test
        fun `a task returned for lack of capacity is placed by the newest reports and keeps its due time`() {
            connectAgents(firstLink, secondLink)
            scheduler.capacityReported(secondLink, capacityReport(freeMilliCpu = 0, queuedCpuMicros = 32_000L * 20))
            scheduler.submit(request(), caller)
            val (link, dispatch) = outputs.dispatches.single()
            assertEquals(firstLink, link)
            clock.advance(70.milliseconds)
            scheduler.capacityReported(firstLink, capacityReport(freeMilliCpu = 0, queuedCpuMicros = 32_000L * 90, received = 1))
            scheduler.capacityReported(secondLink, capacityReport())
            report(firstLink, dispatch, TaskEvent.NOT_STARTED)
            val (next, redispatch) = outputs.dispatches.last()
            assertEquals(secondLink, next)
            assertEquals(dispatch.dueWithinMillis - 70, redispatch.dueWithinMillis)
        }

        @Test
        fun `a returned task of a late job is sent with a due time in the past`() {
            connectAgents(firstLink)
            scheduler.submit(request(tasks = 2, estimate = 300.milliseconds), caller)
            val dispatch = outputs.dispatches.single().second
            report(firstLink, dispatch, TaskEvent.STARTED, task = 0)
            clock.advance(400.milliseconds)
            report(firstLink, dispatch, TaskEvent.NOT_STARTED, task = 1)
            assertTrue(
                outputs.dispatches
                    .last()
                    .second.dueWithinMillis < 0,
            )
        }
    }

    @Nested
    inner class CompetingPriorities {
        private val long = QUEUE.copy(name = "long", priority = 2)
        private val longAnswers = ArrayList<JobAnswer>()

        private fun submitLong(id: String) =
            scheduler.submit(request(id = id, estimate = 400.milliseconds, queue = long)) { longAnswers += it }

        @Test
        fun `a held job is turned away once more urgent work takes its time, before its latest start has passed`() {
            connectAgents(firstLink)
            submitLong("00000000000000b1")
            scheduler.submit(request(), caller)
            val dispatch = outputs.dispatches.first().second
            clock.advance(10.milliseconds)
            val waiting = listOf(QueueWork(QUEUE.name, 32_000L * 300), QueueWork(long.name, 0))
            scheduler.capacityReported(firstLink, capacityReport(freeMilliCpu = 0, received = 9).copy(waiting = waiting))
            report(firstLink, dispatch, TaskEvent.NOT_STARTED)
            assertIs<JobAnswer.NotRun>(longAnswers.single())
            assertTrue("turned_away" in outputs.decisions.map { it.kind })
            assertEquals(emptyList(), answers)
        }

        @Test
        fun `of two held jobs the more urgent is placed first once there is room again`() {
            connectAgents(firstLink)
            submitLong("00000000000000b1")
            scheduler.submit(request(), caller)
            val dispatches = outputs.dispatches.map { it.second }
            // The agent is lost from view, so that both jobs are held.
            scheduler.capacityReported(firstLink, capacityReport(accepting = false, received = 9))
            dispatches.forEach { report(firstLink, it, TaskEvent.NOT_STARTED) }
            outputs.dispatches.clear()
            scheduler.capacityReported(firstLink, capacityReport(received = 9))
            scheduler.tick()
            assertEquals(listOf(QUEUE.name, long.name), outputs.dispatches.map { it.second.queue })
        }

        @Test
        fun `a job with much slack waits longer at an agent than one with little`() {
            connectAgents(firstLink)
            submitLong("00000000000000b1")
            scheduler.submit(request(), caller)
            assertEquals(listOf(75L, 70L), outputs.dispatches.map { it.second.startWithinMillis })
        }

        @Test
        fun `a job whose agent is lost at the peak is not answered as not run`() {
            connectAgents(firstLink, secondLink)
            submitLong("00000000000000b1")
            scheduler.submit(request(), caller)
            outputs.dispatches
                .map { it.first }
                .distinct()
                .forEach { scheduler.linkDown(it, clock.monotonic()) }
            clock.advance(2.seconds)
            scheduler.tick()
            assertIs<JobAnswer.Unfinished>(longAnswers.single())
        }
    }

    @Nested
    inner class SingleRunPerTask {
        @Test
        fun `a task dispatched on a lost link is placed again only after its run has ended`() {
            connectAgents(firstLink, secondLink)
            scheduler.submit(request(estimate = 2.seconds, timeout = 10.seconds), caller)
            val link = outputs.dispatches.single().first
            val lastReceivedAt = clock.monotonic()
            clock.advance(300.milliseconds)
            scheduler.linkDown(link, lastReceivedAt)
            clock.advance(lostLinkRunTimeout - 301.milliseconds)
            scheduler.tick()
            assertEquals(1, outputs.dispatches.size)
            clock.advance(2.milliseconds)
            scheduler.tick()
            assertEquals(2, outputs.dispatches.size)
            assertEquals(
                2,
                outputs.dispatches
                    .last()
                    .second.attempt,
            )
        }

        @Test
        fun `a resubmission waits until the tasks of the ended job are over`() {
            connectAgents(firstLink)
            scheduler.submit(request(), caller)
            val endedDispatch = outputs.dispatches.single().second
            report(firstLink, endedDispatch, TaskEvent.STARTED)
            scheduler.callerLeft(endedDispatch.job, caller)
            assertEquals(listOf(firstLink to endedDispatch.job), outputs.stops)
            scheduler.submit(request(), caller)
            assertEquals(1, outputs.dispatches.size)
            report(firstLink, endedDispatch, TaskEvent.STOPPED)
            assertEquals(2, outputs.dispatches.size)
        }

        @Test
        fun `a report of another attempt or link is ignored`() {
            connectAgents(firstLink)
            scheduler.submit(request(), caller)
            val dispatch = outputs.dispatches.single().second
            report(firstLink, dispatch.copy(attempt = 9), TaskEvent.DONE)
            report(secondLink, dispatch, TaskEvent.DONE)
            assertEquals(emptyList(), answers)
        }
    }

    // Guards against submissions that wait unanswered for a job whose agent does not report the end of its tasks.
    @Nested
    inner class Resubmissions {
        private val resent = ArrayList<JobAnswer>()
        private val resender = Caller { resent += it }

        private fun leaveEndedJob(): StepDispatch {
            connectAgents(firstLink)
            scheduler.submit(request(), caller)
            val dispatch = outputs.dispatches.single().second
            report(firstLink, dispatch, TaskEvent.STARTED)
            clock.advance(1500.milliseconds)
            scheduler.tick()
            assertIs<JobAnswer.Unfinished>(answers.single())
            return dispatch
        }

        @Test
        fun `a resubmission is answered by its deadline while the ended job may still run`() {
            leaveEndedJob()
            scheduler.submit(request(timeout = 2.seconds), resender)
            clock.advance(1999.milliseconds)
            scheduler.tick()
            assertEquals(emptyList(), resent)
            clock.advance(1.milliseconds)
            scheduler.tick()
            assertIs<JobAnswer.Unfinished>(resent.single())
            assertEquals(1, outputs.dispatches.size)
        }

        @Test
        fun `a resubmission is answered when the entry stops, and does not start afterwards`() {
            val dispatch = leaveEndedJob()
            scheduler.submit(request(), resender)
            scheduler.endAll()
            assertIs<JobAnswer.Unfinished>(resent.single())
            report(firstLink, dispatch, TaskEvent.STOPPED)
            assertEquals(1, outputs.dispatches.size)
            assertEquals(0, scheduler.openJobs)
        }

        // Guards against a cancelled job that starts when the target of its first submission is back.
        @Test
        fun `a cancelled resubmission is answered and never starts`() {
            val dispatch = leaveEndedJob()
            scheduler.submit(request(), resender)
            assertTrue(scheduler.cancel(dispatch.job))
            assertIs<JobAnswer.Unfinished>(resent.single())
            report(firstLink, dispatch, TaskEvent.STOPPED)
            assertEquals(1, outputs.dispatches.size)
            assertEquals(0, scheduler.openJobs)
        }

        @Test
        fun `the time that a resubmission has waited counts towards its deadline`() {
            val dispatch = leaveEndedJob()
            scheduler.submit(request(timeout = 2.seconds), resender)
            clock.advance(1.seconds)
            scheduler.capacityReported(firstLink, capacityReport())
            report(firstLink, dispatch, TaskEvent.STOPPED)
            report(firstLink, outputs.dispatches.last().second, TaskEvent.STARTED)
            clock.advance(1.seconds)
            scheduler.tick()
            assertEquals(2, outputs.dispatches.size)
            assertIs<JobAnswer.Unfinished>(resent.single())
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `a failed task is retried at another agent`() {
            connectAgents(firstLink, secondLink)
            scheduler.submit(request(), caller)
            val (link, dispatch) = outputs.dispatches.single()
            report(link, dispatch, TaskEvent.FAILED)
            assertEquals(setOf(firstLink, secondLink), outputs.dispatches.map { it.first }.toSet())
        }

        @Test
        fun `a job fails once a task has failed as many times as its queue allows`() {
            connectAgents(firstLink, secondLink)
            scheduler.submit(request(timeout = 10.seconds), caller)
            repeat(QUEUE.attempts) {
                val (link, dispatch) = outputs.dispatches.last()
                report(link, dispatch, TaskEvent.FAILED)
            }
            assertEquals(listOf<JobAnswer>(JobAnswer.Failed), answers)
        }

        @Test
        fun `a job ends without an answer when its caller leaves`() {
            connectAgents(firstLink)
            scheduler.submit(request(), caller)
            val dispatch = outputs.dispatches.single().second
            scheduler.callerLeft(JobId("00000000000000a1"), caller)
            report(firstLink, dispatch, TaskEvent.NOT_STARTED)
            assertEquals(emptyList(), answers)
            assertEquals(0, scheduler.openJobs)
        }
    }
}
