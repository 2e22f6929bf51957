package io.bluebellramp.jobs

import io.bluebellramp.core.JobId
import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskEvent
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RunDeskTest {
    private val clock = FakeClock()
    private val target = FakeTarget()
    private val outputs = RecordedReports()
    private val zone = ZoneId("z1")
    private val lease = 650.milliseconds
    private val desk = RunDesk(clock, target, outputs, zone, lease, fence = 7)
    private val entry = LinkId(1)
    private val other = LinkId(2)

    private fun news(
        life: Long = 1,
        sequence: Long = 1,
        draining: Boolean = false,
        id: String = "t1",
    ) = TargetNews(TargetId(id), life, sequence, SERVICE, draining, milliCpu = 10_000, memoryMb = 1000, address = "10.0.0.1:1")

    private fun dispatch(
        tasks: Int = 1,
        job: String = "00000000000000a1",
        milliCpu: Int = 4000,
        attempt: Int = 1,
        queue: String = QUEUE.name,
    ) = StepDispatch(
        job = JobId(job),
        step = 0,
        tasks = List(tasks) { it },
        attempt = attempt,
        queue = queue,
        service = SERVICE,
        milliCpu = milliCpu,
        memoryMb = 10,
        spec = "s",
        startWithinMillis = 200,
        estimateMillis = 100,
    )

    private fun reach() {
        desk.targetNews(news())
        target.list()
    }

    private fun started(index: Int = target.starts.lastIndex): RunKey {
        target.starts[index].answer(StartResult.Started)
        return target.starts[index].order.run
    }

    private fun events() = outputs.reports.map { it.second.event }

    @Nested
    inner class Room {
        @Test
        fun `a target is never given more than it holds`() {
            reach()
            desk.dispatch(entry, dispatch(tasks = 3))
            assertEquals(2, target.starts.size)
            val run = started(0)
            started(1)
            target.list(running = listOf(target.starts[1].order.run), ended = listOf(run to RunEnd.DONE))
            assertEquals(3, target.starts.size)
        }

        @Test
        fun `a run that is being stopped takes room until its end is listed`() {
            reach()
            desk.dispatch(entry, dispatch(tasks = 2))
            val runs = listOf(started(0), started(1))
            desk.stopJob(entry, JobId("00000000000000a1"))
            target.stops.forEach { it.answer(true) }
            desk.dispatch(entry, dispatch(job = "00000000000000a2"))
            assertEquals(2, target.starts.size)
            clock.pass(20.milliseconds)
            target.list(ended = runs.map { it to RunEnd.STOPPED })
            assertEquals(3, target.starts.size)
        }

        @Test
        fun `free room goes to the most urgent queue that waits`() {
            reach()
            desk.dispatch(entry, dispatch(tasks = 2))
            val run = started(0)
            started(1)
            desk.dispatch(entry, dispatch(job = "00000000000000b1", queue = "patient").copy(priority = 2))
            desk.dispatch(entry, dispatch(job = "00000000000000b2", queue = "urgent").copy(priority = 0))
            target.list(ended = listOf(run to RunEnd.DONE))
            val next =
                target.starts
                    .last()
                    .order.run.task.job
            assertEquals(3, target.starts.size)
            assertEquals(JobId("00000000000000b2"), next)
        }

        @Test
        fun `a task that finds no room in time is given back as not started`() {
            reach()
            desk.dispatch(entry, dispatch(tasks = 3))
            clock.pass(201.milliseconds)
            desk.tick()
            assertEquals(TaskEvent.NOT_STARTED, events().last())
        }

        @Test
        fun `nothing starts beside runs of an earlier agent`() {
            desk.targetNews(news())
            val foreign = RunKey(TaskKey(JobId("00000000000000ff"), 0, 0), 3)
            target.list(running = listOf(foreign))
            desk.dispatch(entry, dispatch())
            assertEquals(listOf(foreign), target.stops.map { it.run })
            assertEquals(emptyList(), target.starts)
            target.list()
            assertEquals(1, target.starts.size)
        }
    }

    @Nested
    inner class OrdersWithoutAnAnswer {
        @Test
        fun `a run whose start got no answer but is listed goes on`() {
            reach()
            desk.dispatch(entry, dispatch())
            val run =
                target.starts
                    .single()
                    .order.run
            target.starts.single().answer(StartResult.NoAnswer)
            clock.pass(1.milliseconds)
            target.list()
            target.list(running = listOf(run))
            assertEquals(listOf(TaskEvent.STARTED), events())
            assertEquals(emptyList(), target.stops)
        }

        @Test
        fun `a run whose start got no answer is looked for at once, and the call that was open tells nothing any more`() {
            reach()
            val open = target.leases.last()
            desk.dispatch(entry, dispatch())
            val run =
                target.starts
                    .single()
                    .order.run
            target.starts.single().answer(StartResult.NoAnswer)
            assertTrue(target.leases.last() !== open)
            clock.pass(1.milliseconds)
            open.answer(LeaseResult.Listed(life = 1, clock = target.clock, running = emptyMap(), ended = emptyList()))
            assertEquals(emptyList(), target.stops)
            target.list(running = listOf(run))
            assertEquals(listOf(TaskEvent.STARTED), events())
        }

        @Test
        fun `a run whose start got no answer and is not listed is barred before its task is given back`() {
            reach()
            desk.dispatch(entry, dispatch())
            target.starts.single().answer(StartResult.NoAnswer)
            clock.pass(1.milliseconds)
            target.list()
            target.list()
            assertEquals(
                listOf(
                    target.starts
                        .single()
                        .order.run,
                ),
                target.stops.map { it.run },
            )
            assertEquals(emptyList(), events())
            target.stops.single().answer(true)
            clock.pass(1.milliseconds)
            target.list()
            target.list()
            assertEquals(listOf(TaskEvent.NOT_STARTED), events())
        }

        @Test
        fun `a list made before a start was carried out does not end the run`() {
            reach()
            desk.dispatch(entry, dispatch())
            clock.pass(1.milliseconds)
            target.list()
            clock.pass(1.milliseconds)
            val run = started()
            clock.pass(1.milliseconds)
            target.list()
            assertEquals(listOf(TaskEvent.STARTED), events())
            assertEquals(emptyList(), target.stops)
            target.list(running = listOf(run))
            assertEquals(listOf(TaskEvent.STARTED), events())
        }

        @Test
        fun `a run that the target does not list any more is barred before its task is given back`() {
            reach()
            desk.dispatch(entry, dispatch())
            started()
            clock.pass(1.milliseconds)
            target.list()
            target.list()
            assertEquals(1, target.stops.size)
            assertEquals(listOf(TaskEvent.STARTED), events())
        }

        @Test
        fun `a list made before an order to stop was carried out does not free the room`() {
            reach()
            desk.dispatch(entry, dispatch())
            started()
            desk.stopJob(entry, JobId("00000000000000a1"))
            clock.pass(1.milliseconds)
            target.list()
            clock.pass(1.milliseconds)
            target.stops.single().answer(true)
            target.list()
            assertEquals(listOf(TaskEvent.STARTED), events())
        }

        @Test
        fun `an order to stop without an answer is given again`() {
            reach()
            desk.dispatch(entry, dispatch())
            started()
            desk.stopJob(entry, JobId("00000000000000a1"))
            target.stops.single().answer(false)
            clock.pass(101.milliseconds)
            desk.tick()
            assertEquals(2, target.stops.size)
        }

        @Test
        fun `a target that refuses at once is asked again after a pause`() {
            reach()
            val asked = target.leases.size
            target.leases.last().answer(LeaseResult.NoAnswer("no connection"))
            assertEquals(asked, target.leases.size)
            clock.pass(30.milliseconds)
            desk.tick()
            assertEquals(asked + 1, target.leases.size)
            desk.tick()
            assertEquals(asked + 1, target.leases.size, "a call is under way")
        }

        @Test
        fun `runs of a target that is silent are over once their leases have run out`() {
            reach()
            desk.dispatch(entry, dispatch())
            started()
            clock.pass(500.milliseconds)
            target.leases.last().answer(LeaseResult.NoAnswer("no answer"))
            desk.tick()
            assertFalse(desk.room().accepting)
            assertEquals(listOf(TaskEvent.STARTED), events())
            clock.pass(800.milliseconds)
            desk.tick()
            assertEquals(listOf(TaskEvent.STARTED, TaskEvent.STOPPED), events())
        }
    }

    @Nested
    inner class TroubledTargets {
        private fun listEvery(
            times: Int,
            run: RunKey,
            percent: (Int) -> Int,
        ) = repeat(times) {
            clock.pass(100.milliseconds)
            target.list(running = listOf(run), percent = percent(it))
        }

        @Test
        fun `a run that stands still is stopped and given back`() {
            reach()
            desk.dispatch(entry, dispatch())
            val run = started()
            listEvery(5, run) { 30 }
            assertEquals(listOf(run), target.stops.map { it.run })
            assertTrue(desk.room().failing > 0.2)
        }

        @Test
        fun `a run that goes on slowly is left alone, and the target is told to be slow`() {
            reach()
            desk.dispatch(entry, dispatch())
            val run = started()
            listEvery(8, run) { 10 + it }
            assertEquals(emptyList(), target.stops)
            assertTrue(desk.room().slowness > 1.5, "${desk.room().slowness}")
        }

        @Test
        fun `a target that fails what it starts is told to fail, until some time has passed`() {
            reach()
            repeat(4) {
                desk.dispatch(entry, dispatch(attempt = it + 1))
                target.list(ended = listOf(started() to RunEnd.FAILED))
            }
            assertTrue(desk.room().failing > 0.7)
            clock.pass(8.seconds)
            assertTrue(desk.room().failing < 0.1)
        }
    }

    @Nested
    inner class Owners {
        @Test
        fun `the runs of an entry whose link is lost are stopped`() {
            reach()
            desk.dispatch(entry, dispatch())
            val run = started()
            desk.linkDown(entry)
            assertEquals(listOf(run), target.stops.map { it.run })
        }

        @Test
        fun `a task of another entry does not start beside an earlier run of it`() {
            reach()
            desk.dispatch(entry, dispatch(milliCpu = 1000))
            started()
            desk.dispatch(other, dispatch(milliCpu = 1000))
            assertEquals(1, target.starts.size)
            assertEquals(
                TaskEvent.NOT_STARTED,
                outputs.reports
                    .last { it.first == other }
                    .second.event,
            )
            assertEquals(1, target.stops.size)
        }

        @Test
        fun `run numbers of a task rise`() {
            reach()
            desk.dispatch(entry, dispatch())
            val run = started()
            target.list(ended = listOf(run to RunEnd.FAILED))
            desk.dispatch(entry, dispatch(attempt = 2))
            desk.dispatch(other, dispatch(job = "00000000000000a2"))
            assertEquals(listOf(1, 2, 1), target.starts.map { it.order.run.number })
        }
    }

    @Nested
    inner class ClosedDoors {
        @Test
        fun `nothing starts at a target that leaves`() {
            reach()
            desk.targetNews(news(sequence = 2, draining = true))
            desk.dispatch(entry, dispatch())
            assertEquals(emptyList(), target.starts)
            assertEquals(listOf(TaskEvent.NOT_STARTED), events())
        }

        @Test
        fun `nothing starts in a zone that is out of service`() {
            reach()
            desk.setZonesOut(setOf(zone))
            desk.dispatch(entry, dispatch())
            assertEquals(emptyList(), target.starts)
        }

        @Test
        fun `late news of an earlier life or an earlier message change nothing`() {
            reach()
            assertTrue(desk.targetNews(news(life = 2, sequence = 5)))
            assertFalse(desk.targetNews(news(life = 1, sequence = 9, draining = true)))
            assertFalse(desk.targetNews(news(life = 2, sequence = 4, draining = true)))
        }

        @Test
        fun `the runs of a target that started again are over`() {
            reach()
            desk.dispatch(entry, dispatch())
            started()
            desk.targetNews(news(life = 2))
            assertEquals(listOf(TaskEvent.STARTED, TaskEvent.STOPPED), events())
        }
    }

    @Nested
    inner class Leases {
        @Test
        fun `a lease ends on the target's clock no later than asked`() {
            target.clock = 5.seconds
            reach()
            clock.pass(100.milliseconds)
            desk.dispatch(entry, dispatch())
            val until =
                target.starts
                    .single()
                    .order.leaseUntil
            assertTrue(until <= 5.seconds + 100.milliseconds + lease)
            assertTrue(until > 5.seconds + 90.milliseconds + lease)
        }

        @Test
        fun `an end is acknowledged with the next lease`() {
            reach()
            desk.dispatch(entry, dispatch())
            val run = started()
            target.list(ended = listOf(run to RunEnd.DONE))
            assertEquals(1, target.leases.last().acknowledged)
        }

        @Test
        fun `a fence that is too low is raised`() {
            reach()
            desk.dispatch(entry, dispatch())
            target.starts.single().answer(StartResult.Refused(StartRefusal.FENCED))
            assertTrue(
                target.starts
                    .last()
                    .order.fence > 7,
            )
        }
    }
}
