package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.core.ZoneId
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

class JobDeskTest {
    private val clock = FakeClock()
    private val outputs = RecordedOutputs()
    private val lostRunLife = 1.seconds
    private val desk = JobDesk(clock, outputs, lostRunLife, Random(7))
    private val answers = ArrayList<JobAnswer>()
    private val caller = Caller { answers += it }
    private val first = LinkId(1)
    private val second = LinkId(2)

    private fun connect(
        first: LinkId,
        second: LinkId? = null,
    ) = listOfNotNull(first, second).forEach {
        desk.linkUp(it, "agent-$it", ZoneId("z$it"))
        desk.room(it, room())
    }

    private fun report(
        link: LinkId,
        dispatch: StepDispatch,
        event: TaskEvent,
        task: Int = dispatch.tasks.first(),
        reason: String = "",
    ) = desk.report(link, TaskReport(dispatch.job, dispatch.step, task, dispatch.attempt, event, reason))

    @Nested
    inner class ACalmDay {
        @Test
        fun `a job is answered once all of its tasks are done`() {
            connect(first)
            desk.submit(request(tasks = 2), caller)
            val (link, dispatch) = outputs.dispatches.single()
            assertEquals(listOf(0, 1), dispatch.tasks)
            report(link, dispatch, TaskEvent.DONE, task = 0)
            assertEquals(emptyList(), answers)
            report(link, dispatch, TaskEvent.DONE, task = 1)
            assertEquals(listOf<JobAnswer>(JobAnswer.Completed), answers)
            assertEquals(0, desk.openJobs)
        }

        @Test
        fun `a step starts after the steps it depends on`() {
            connect(first)
            val steps = listOf(StepRequest(1, 1000, 64, 50.milliseconds), StepRequest(1, 1000, 64, 50.milliseconds, dependsOn = listOf(0)))
            desk.submit(request(steps = steps), caller)
            assertEquals(listOf(0), outputs.dispatches.map { it.second.step })
            report(first, outputs.dispatches.single().second, TaskEvent.DONE)
            assertEquals(listOf(0, 1), outputs.dispatches.map { it.second.step })
        }

        @Test
        fun `the same id joins the job that is open`() {
            connect(first)
            desk.submit(request(), caller)
            desk.submit(request(), caller)
            assertEquals(1, outputs.dispatches.size)
            report(first, outputs.dispatches.single().second, TaskEvent.DONE)
            assertEquals(2, answers.size)
        }
    }

    @Nested
    inner class QuietAgents {
        @Test
        fun `an agent that has gone quiet gets nothing new while another is heard`() {
            connect(first, second)
            clock.pass(200.milliseconds)
            desk.room(second, room())
            desk.submit(request(tasks = 8), caller)
            assertEquals(setOf(second), outputs.dispatches.map { it.first }.toSet())
        }

        @Test
        fun `an agent that has gone quiet is used if it is the only one, or the only one that is large enough`() {
            connect(first, second)
            clock.pass(200.milliseconds)
            desk.room(second, room().copy(milliCpu = 500, freeMilliCpu = 500))
            desk.submit(request(), caller)
            assertEquals(listOf(first), outputs.dispatches.map { it.first })
        }

        @Test
        fun `a report within a beat is not quiet`() {
            connect(first, second)
            clock.pass(120.milliseconds)
            desk.room(second, room())
            desk.submit(request(tasks = 16), caller)
            assertEquals(setOf(first, second), outputs.dispatches.map { it.first }.toSet())
        }
    }

    @Nested
    inner class Refusals {
        @Test
        fun `a job without a reachable target is refused at once`() {
            desk.submit(request(), caller)
            assertIs<JobAnswer.NotRun>(answers.single())
        }

        @Test
        fun `a job that would wait longer than its slack is refused at once and nothing of it is sent`() {
            connect(first)
            desk.room(first, room(free = 0, queued = 32_000L * 500))
            desk.submit(request(), caller)
            val answer = assertIs<JobAnswer.NotRun>(answers.single())
            assertTrue(answer.retryAfter > 100.milliseconds)
            assertEquals(emptyList(), outputs.dispatches)
        }

        @Test
        fun `a wide job is refused at once if its last task would start too late, a narrow one is taken`() {
            connect(first)
            desk.room(first, room(free = 6000))
            desk.submit(request(tasks = 100), caller)
            assertIs<JobAnswer.NotRun>(answers.single())
            assertEquals(emptyList(), outputs.dispatches)
            desk.submit(request(id = "00000000000000a2", tasks = 3), caller)
            assertEquals(1, outputs.dispatches.size)
        }

        @Test
        fun `a job whose zone goes out of service is placed in another`() {
            connect(first, second)
            desk.setZonesOut(setOf(ZoneId("z1")))
            desk.submit(request(tasks = 4), caller)
            assertEquals(setOf(second), outputs.dispatches.map { it.first }.toSet())
        }

        @Test
        fun `a job that an agent turned away is refused as not run only if nothing has started`() {
            connect(first)
            desk.submit(request(tasks = 1), caller)
            val dispatch = outputs.dispatches.single().second
            clock.pass(170.milliseconds)
            report(first, dispatch, TaskEvent.NOT_STARTED)
            assertIs<JobAnswer.NotRun>(answers.single())
        }

        @Test
        fun `a job of which a task has started is never refused as not run`() {
            connect(first)
            desk.submit(request(tasks = 2), caller)
            val dispatch = outputs.dispatches.single().second
            report(first, dispatch, TaskEvent.STARTED, task = 0)
            clock.pass(1600.milliseconds)
            desk.tick()
            assertIs<JobAnswer.Unfinished>(answers.single())
        }

        @Test
        fun `a job whose agent was lost may have started, so it is not refused as not run`() {
            connect(first)
            desk.submit(request(), caller)
            desk.linkDown(first, clock.monotonic())
            clock.pass(1600.milliseconds)
            desk.tick()
            assertIs<JobAnswer.Unfinished>(answers.single())
        }
    }

    @Nested
    inner class FullTargets {
        @Test
        fun `a task that found no room at one agent is placed by the newest reports, and keeps its place in the order`() {
            connect(first, second)
            desk.room(second, room(free = 0, queued = 32_000L * 20))
            desk.submit(request(), caller)
            val (link, dispatch) = outputs.dispatches.single()
            assertEquals(first, link)
            clock.pass(70.milliseconds)
            desk.room(first, room(free = 0, queued = 32_000L * 90, received = 1))
            desk.room(second, room())
            report(first, dispatch, TaskEvent.NOT_STARTED)
            val (next, again) = outputs.dispatches.last()
            assertEquals(second, next)
            assertEquals(dispatch.dueWithinMillis - 70, again.dueWithinMillis)
        }

        @Test
        fun `the last tasks of a job that is late go before those of others`() {
            connect(first)
            desk.submit(request(tasks = 2, estimate = 300.milliseconds), caller)
            val dispatch = outputs.dispatches.single().second
            report(first, dispatch, TaskEvent.STARTED, task = 0)
            clock.pass(400.milliseconds)
            report(first, dispatch, TaskEvent.NOT_STARTED, task = 1)
            assertTrue(
                outputs.dispatches
                    .last()
                    .second.dueWithinMillis < 0,
            )
        }
    }

    @Nested
    inner class NoTwoRunsAtOnce {
        @Test
        fun `a task of a lost link is placed again only after its run has ended`() {
            connect(first, second)
            desk.submit(request(estimate = 2.seconds, patience = 10.seconds), caller)
            val link = outputs.dispatches.single().first
            val heardAt = clock.monotonic()
            clock.pass(300.milliseconds)
            desk.linkDown(link, heardAt)
            clock.pass(lostRunLife - 301.milliseconds)
            desk.tick()
            assertEquals(1, outputs.dispatches.size)
            clock.pass(2.milliseconds)
            desk.tick()
            assertEquals(2, outputs.dispatches.size)
            assertEquals(
                2,
                outputs.dispatches
                    .last()
                    .second.attempt,
            )
        }

        @Test
        fun `a new submission of an id waits until the tasks of the former one are gone`() {
            connect(first)
            desk.submit(request(), caller)
            val former = outputs.dispatches.single().second
            report(first, former, TaskEvent.STARTED)
            desk.callerLeft(former.job, caller)
            assertEquals(listOf(first to former.job), outputs.stops)
            desk.submit(request(), caller)
            assertEquals(1, outputs.dispatches.size)
            report(first, former, TaskEvent.STOPPED)
            assertEquals(2, outputs.dispatches.size)
        }

        @Test
        fun `a report of an earlier attempt counts for nothing`() {
            connect(first)
            desk.submit(request(), caller)
            val dispatch = outputs.dispatches.single().second
            report(first, dispatch.copy(attempt = 9), TaskEvent.DONE)
            report(second, dispatch, TaskEvent.DONE)
            assertEquals(emptyList(), answers)
        }
    }

    @Nested
    inner class Failures {
        @Test
        fun `a task that failed is tried at another agent first`() {
            connect(first, second)
            desk.submit(request(), caller)
            val (link, dispatch) = outputs.dispatches.single()
            report(link, dispatch, TaskEvent.FAILED)
            assertEquals(setOf(first, second), outputs.dispatches.map { it.first }.toSet())
        }

        @Test
        fun `a task that failed as often as its queue allows fails the job`() {
            connect(first, second)
            desk.submit(request(patience = 10.seconds), caller)
            repeat(QUEUE.attempts) {
                val (link, dispatch) = outputs.dispatches.last()
                report(link, dispatch, TaskEvent.FAILED)
            }
            assertEquals(listOf<JobAnswer>(JobAnswer.Failed), answers)
        }

        @Test
        fun `a caller that left ends its job, and hears nothing`() {
            connect(first)
            desk.submit(request(), caller)
            val dispatch = outputs.dispatches.single().second
            desk.callerLeft(JobId("00000000000000a1"), caller)
            report(first, dispatch, TaskEvent.NOT_STARTED)
            assertEquals(emptyList(), answers)
            assertEquals(0, desk.openJobs)
        }
    }
}
