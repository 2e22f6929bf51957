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

class RunManagerTest {
    private val clock = FakeClock()
    private val target = FakeTarget()
    private val outputs = RecordingRunOutputs()
    private val zone = ZoneId("z1")
    private val lease = 650.milliseconds
    private val runManager = RunManager(clock, target, outputs, zone, lease, fence = 7)
    private val entry = LinkId(1)
    private val otherEntry = LinkId(2)

    private fun targetDescription(
        life: Long = 1,
        sequence: Long = 1,
        draining: Boolean = false,
        id: String = "t1",
    ) = TargetDescription(TargetId(id), life, sequence, SERVICE, draining, milliCpu = 10_000, memoryMb = 1000, address = "10.0.0.1:1")

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

    private fun connectTarget() {
        runManager.targetAnnounced(targetDescription())
        target.answerLease()
    }

    private fun confirmStart(index: Int = target.starts.lastIndex): RunKey {
        target.starts[index].answer(StartResult.Started)
        return target.starts[index].order.run
    }

    private fun events() = outputs.reports.map { it.second.event }

    @Nested
    inner class Idleness {
        @Test
        fun `an agent without a target is not idle`() = assertFalse(runManager.isIdle)

        @Test
        fun `a target that answers and has no runs makes it idle`() {
            connectTarget()
            assertTrue(runManager.isIdle)
        }

        @Test
        fun `a run keeps it busy until its end is listed`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            assertFalse(runManager.isIdle)
            val run = confirmStart()
            assertFalse(runManager.isIdle)
            target.answerLease(ended = listOf(run to RunEnd.DONE))
            assertTrue(runManager.isIdle)
        }

        @Test
        fun `a silent target ends the idleness`() {
            connectTarget()
            clock.advance(500.milliseconds)
            runManager.tick()
            assertFalse(runManager.isIdle)
        }

        @Test
        fun `a run that an earlier agent left keeps it busy`() {
            runManager.targetAnnounced(targetDescription())
            target.answerLease(running = listOf(RunKey(TaskKey(JobId("00000000000000a1"), 0, 0), 1)))
            assertFalse(runManager.isIdle)
        }
    }

    @Nested
    inner class Capacity {
        @Test
        fun `a target never gets more than its capacity`() {
            connectTarget()
            runManager.dispatch(entry, dispatch(tasks = 3))
            assertEquals(2, target.starts.size)
            val run = confirmStart(0)
            confirmStart(1)
            target.answerLease(running = listOf(target.starts[1].order.run), ended = listOf(run to RunEnd.DONE))
            assertEquals(3, target.starts.size)
        }

        @Test
        fun `a run that is being stopped uses capacity until its end is listed`() {
            connectTarget()
            runManager.dispatch(entry, dispatch(tasks = 2))
            val runs = listOf(confirmStart(0), confirmStart(1))
            runManager.stopJob(entry, JobId("00000000000000a1"))
            target.stops.forEach { it.answer(true) }
            runManager.dispatch(entry, dispatch(job = "00000000000000a2"))
            assertEquals(2, target.starts.size)
            clock.advance(20.milliseconds)
            target.answerLease(ended = runs.map { it to RunEnd.STOPPED })
            assertEquals(3, target.starts.size)
        }

        @Test
        fun `free capacity goes to the waiting queue with the highest priority`() {
            connectTarget()
            runManager.dispatch(entry, dispatch(tasks = 2))
            val run = confirmStart(0)
            confirmStart(1)
            runManager.dispatch(entry, dispatch(job = "00000000000000b1", queue = "patient").copy(priority = 2))
            runManager.dispatch(entry, dispatch(job = "00000000000000b2", queue = "urgent").copy(priority = 0))
            target.answerLease(ended = listOf(run to RunEnd.DONE))
            val next =
                target.starts
                    .last()
                    .order.run.task.job
            assertEquals(3, target.starts.size)
            assertEquals(JobId("00000000000000b2"), next)
        }

        @Test
        fun `a task that gets no capacity in time is returned as not started`() {
            connectTarget()
            runManager.dispatch(entry, dispatch(tasks = 3))
            clock.advance(201.milliseconds)
            runManager.tick()
            assertEquals(TaskEvent.NOT_STARTED, events().last())
        }

        @Test
        fun `nothing starts until the runs of an earlier agent have ended`() {
            runManager.targetAnnounced(targetDescription())
            val orphanedRun = RunKey(TaskKey(JobId("00000000000000ff"), 0, 0), 3)
            target.answerLease(running = listOf(orphanedRun))
            runManager.dispatch(entry, dispatch())
            assertEquals(listOf(orphanedRun), target.stops.map { it.run })
            assertEquals(emptyList(), target.starts)
            target.answerLease()
            assertEquals(1, target.starts.size)
        }
    }

    @Nested
    inner class UnansweredCalls {
        @Test
        fun `a run with an unanswered start continues if it is listed`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            val run =
                target.starts
                    .single()
                    .order.run
            target.starts.single().answer(StartResult.NoAnswer)
            clock.advance(1.milliseconds)
            target.answerLease()
            target.answerLease(running = listOf(run))
            assertEquals(listOf(TaskEvent.STARTED), events())
            assertEquals(emptyList(), target.stops)
        }

        @Test
        fun `an unanswered start causes a new lease call at once, and the answer to the earlier call is ignored`() {
            connectTarget()
            val earlierCall = target.leases.last()
            runManager.dispatch(entry, dispatch())
            val run =
                target.starts
                    .single()
                    .order.run
            target.starts.single().answer(StartResult.NoAnswer)
            assertTrue(target.leases.last() !== earlierCall)
            clock.advance(1.milliseconds)
            earlierCall.answer(LeaseResult.RunList(life = 1, clock = target.clock, running = emptyMap(), ended = emptyList()))
            assertEquals(emptyList(), target.stops)
            target.answerLease(running = listOf(run))
            assertEquals(listOf(TaskEvent.STARTED), events())
        }

        @Test
        fun `a run with an unanswered start that is not listed is stopped before its task is returned`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            target.starts.single().answer(StartResult.NoAnswer)
            clock.advance(1.milliseconds)
            target.answerLease()
            target.answerLease()
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
            clock.advance(1.milliseconds)
            target.answerLease()
            target.answerLease()
            assertEquals(listOf(TaskEvent.NOT_STARTED), events())
        }

        @Test
        fun `a list requested before a start was answered does not end the run`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            clock.advance(1.milliseconds)
            target.answerLease()
            clock.advance(1.milliseconds)
            val run = confirmStart()
            clock.advance(1.milliseconds)
            target.answerLease()
            assertEquals(listOf(TaskEvent.STARTED), events())
            assertEquals(emptyList(), target.stops)
            target.answerLease(running = listOf(run))
            assertEquals(listOf(TaskEvent.STARTED), events())
        }

        @Test
        fun `a run that is no longer listed is stopped before its task is returned`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            confirmStart()
            clock.advance(1.milliseconds)
            target.answerLease()
            target.answerLease()
            assertEquals(1, target.stops.size)
            assertEquals(listOf(TaskEvent.STARTED), events())
        }

        @Test
        fun `a list requested before an order to stop was answered does not free the capacity`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            confirmStart()
            runManager.stopJob(entry, JobId("00000000000000a1"))
            clock.advance(1.milliseconds)
            target.answerLease()
            clock.advance(1.milliseconds)
            target.stops.single().answer(true)
            target.answerLease()
            assertEquals(listOf(TaskEvent.STARTED), events())
        }

        @Test
        fun `an unanswered order to stop is sent again`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            confirmStart()
            runManager.stopJob(entry, JobId("00000000000000a1"))
            target.stops.single().answer(false)
            clock.advance(101.milliseconds)
            runManager.tick()
            assertEquals(2, target.stops.size)
        }

        @Test
        fun `a failed lease call is retried after a delay`() {
            connectTarget()
            val callCount = target.leases.size
            target.leases.last().answer(LeaseResult.NoAnswer("no connection"))
            assertEquals(callCount, target.leases.size)
            clock.advance(30.milliseconds)
            runManager.tick()
            assertEquals(callCount + 1, target.leases.size)
            runManager.tick()
            assertEquals(callCount + 1, target.leases.size, "a call is in progress")
        }

        @Test
        fun `runs of an unreachable target are over once their leases have expired`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            confirmStart()
            clock.advance(500.milliseconds)
            target.leases.last().answer(LeaseResult.NoAnswer("no answer"))
            runManager.tick()
            assertFalse(runManager.capacityReport().accepting)
            assertEquals(listOf(TaskEvent.STARTED), events())
            clock.advance(800.milliseconds)
            runManager.tick()
            assertEquals(listOf(TaskEvent.STARTED, TaskEvent.STOPPED), events())
        }
    }

    @Nested
    inner class UnprovenStarts {
        private fun leaveStartUnanswered() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            target.starts.single().answer(StartResult.NoAnswer)
            clock.advance(1.milliseconds)
        }

        // Guards against a job that is refused as not run although its task had begun before the target was cut off.
        @Test
        fun `a run whose stop was not answered is returned as stopped once its lease has expired`() {
            leaveStartUnanswered()
            target.answerLease()
            target.answerLease()
            assertEquals(1, target.stops.size)
            target.leases.last().answer(LeaseResult.NoAnswer("cut off"))
            clock.advance(3.seconds)
            runManager.tick()
            assertEquals(listOf(TaskEvent.STOPPED), events())
        }

        // Guards against a run that is given up because its end does not fit into the first part of a long list.
        @Test
        fun `a list that is cut short is no evidence of a run that it does not name`() {
            leaveStartUnanswered()
            val run =
                target.starts
                    .single()
                    .order.run
            target.answerLease(isComplete = false)
            target.answerLease(isComplete = false)
            assertEquals(0, target.stops.size)
            target.answerLease(ended = listOf(run to RunEnd.DONE))
            assertEquals(listOf(TaskEvent.DONE), events())
        }
    }

    @Nested
    inner class SlowAndFailingTargets {
        private fun reportProgress(
            times: Int,
            run: RunKey,
            percent: (Int) -> Int,
        ) = repeat(times) {
            clock.advance(100.milliseconds)
            target.answerLease(running = listOf(run), percent = percent(it))
        }

        @Test
        fun `a stalled run is stopped and raises the reported failure rate`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            val run = confirmStart()
            reportProgress(5, run) { 30 }
            assertEquals(listOf(run), target.stops.map { it.run })
            assertTrue(runManager.capacityReport().failing > 0.2)
        }

        @Test
        fun `a slow run continues, and the target is reported as slow`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            val run = confirmStart()
            reportProgress(8, run) { 10 + it }
            assertEquals(emptyList(), target.stops)
            assertTrue(runManager.capacityReport().slowness > 1.5, "${runManager.capacityReport().slowness}")
        }

        @Test
        fun `failed runs raise the reported failure rate, which then decays`() {
            connectTarget()
            repeat(4) {
                runManager.dispatch(entry, dispatch(attempt = it + 1))
                target.answerLease(ended = listOf(confirmStart() to RunEnd.FAILED))
            }
            assertTrue(runManager.capacityReport().failing > 0.7)
            clock.advance(8.seconds)
            assertTrue(runManager.capacityReport().failing < 0.1)
        }
    }

    @Nested
    inner class Owners {
        @Test
        fun `the runs of an entry are stopped when its link is lost`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            val run = confirmStart()
            runManager.linkDown(entry)
            assertEquals(listOf(run), target.stops.map { it.run })
        }

        @Test
        fun `a task dispatched by another entry does not start while an earlier run of it exists`() {
            connectTarget()
            runManager.dispatch(entry, dispatch(milliCpu = 1000))
            confirmStart()
            runManager.dispatch(otherEntry, dispatch(milliCpu = 1000))
            assertEquals(1, target.starts.size)
            assertEquals(
                TaskEvent.NOT_STARTED,
                outputs.reports
                    .last { it.first == otherEntry }
                    .second.event,
            )
            assertEquals(1, target.stops.size)
        }

        @Test
        fun `run numbers of a task rise`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            val run = confirmStart()
            target.answerLease(ended = listOf(run to RunEnd.FAILED))
            runManager.dispatch(entry, dispatch(attempt = 2))
            runManager.dispatch(otherEntry, dispatch(job = "00000000000000a2"))
            assertEquals(listOf(1, 2, 1), target.starts.map { it.order.run.number })
        }
    }

    @Nested
    inner class UnavailableTargets {
        @Test
        fun `nothing starts at a draining target`() {
            connectTarget()
            runManager.targetAnnounced(targetDescription(sequence = 2, draining = true))
            runManager.dispatch(entry, dispatch())
            assertEquals(emptyList(), target.starts)
            assertEquals(listOf(TaskEvent.NOT_STARTED), events())
        }

        @Test
        fun `nothing starts in a zone that is out of service`() {
            connectTarget()
            runManager.setZonesOut(setOf(zone))
            runManager.dispatch(entry, dispatch())
            assertEquals(emptyList(), target.starts)
        }

        @Test
        fun `outdated announcements are ignored`() {
            connectTarget()
            assertTrue(runManager.targetAnnounced(targetDescription(life = 2, sequence = 5)))
            target.answerLease(life = 2)
            assertFalse(runManager.targetAnnounced(targetDescription(life = 2, sequence = 4, draining = true)))
            runManager.targetAnnounced(targetDescription(life = 1, sequence = 9, draining = true))
            target.answerLease(life = 2)
            assertTrue(runManager.capacityReport().accepting)
        }
    }

    @Nested
    inner class Restarts {
        private fun startRun(): RunKey {
            runManager.dispatch(entry, dispatch())
            return confirmStart().also { clock.advance(1.milliseconds) }
        }

        /** Answers the latest lease call with an end that has [number] in its life. */
        private fun answerEnd(
            number: Long,
            run: RunKey,
            life: Long,
        ) = target.leases.last().answer(
            LeaseResult.RunList(life, target.clock, running = emptyMap(), ended = listOf(ListedEnd(number, run, RunEnd.DONE))),
        )

        @Test
        fun `the runs of a restarted target are over once the new life has answered`() {
            connectTarget()
            startRun()
            runManager.targetAnnounced(targetDescription(life = 2))
            assertEquals(listOf(TaskEvent.STARTED), events())
            target.answerLease(life = 2)
            assertEquals(listOf(TaskEvent.STARTED, TaskEvent.STOPPED), events())
        }

        // Guards against a task running twice at once after a target started again under its id.
        @Test
        fun `a run that a new life started before its first heartbeat is not given up while it goes on`() {
            connectTarget()
            val run = startRun()
            target.answerLease(running = listOf(run), life = 2)
            runManager.targetAnnounced(targetDescription(life = 2))
            target.answerLease(running = listOf(run), life = 2)
            assertEquals(listOf(TaskEvent.STARTED), events())
            assertEquals(emptyList(), target.stops)
            answerEnd(number = 1, run, life = 2)
            assertEquals(listOf(TaskEvent.STARTED, TaskEvent.DONE), events())
        }

        // Guards against a job that is refused as not run although the former life had begun a task of it.
        @Test
        fun `an order that may have reached either life is stopped, and its task is returned as stopped`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            target.starts.single().answer(StartResult.NoAnswer)
            clock.advance(1.milliseconds)
            target.answerLease(life = 2)
            target.answerLease(life = 2)
            assertEquals(1, target.stops.size)
            assertEquals(emptyList(), events())
            target.stops.single().answer(true)
            clock.advance(1.milliseconds)
            target.answerLease(life = 2)
            target.answerLease(life = 2)
            assertEquals(listOf(TaskEvent.STOPPED), events())
        }

        @Test
        fun `an order that only the new life has received is returned as not started`() {
            connectTarget()
            runManager.targetAnnounced(targetDescription(life = 2))
            target.answerLease(life = 2)
            runManager.dispatch(entry, dispatch())
            target.starts.single().answer(StartResult.NoAnswer)
            clock.advance(1.milliseconds)
            target.answerLease(life = 2)
            target.answerLease(life = 2)
            target.stops.single().answer(true)
            clock.advance(1.milliseconds)
            target.answerLease(life = 2)
            target.answerLease(life = 2)
            assertEquals(listOf(TaskEvent.NOT_STARTED), events())
        }

        @Test
        fun `an order to stop that the former life answered is sent to the new life`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            target.starts.single().answer(StartResult.NoAnswer)
            runManager.stopJob(entry, JobId("00000000000000a1"))
            target.stops.single().answer(true)
            clock.advance(101.milliseconds)
            target.answerLease(life = 2)
            target.answerLease(life = 2)
            runManager.tick()
            assertEquals(2, target.stops.size)
            assertEquals(emptyList(), events())
        }

        @Test
        fun `ends of a new life are counted from its first`() {
            connectTarget()
            answerEnd(number = 7, RunKey(TaskKey(JobId("00000000000000ff"), 0, 0), 1), life = 1)
            val run = startRun()
            answerEnd(number = 1, run, life = 2)
            assertEquals(listOf(TaskEvent.STARTED, TaskEvent.DONE), events())
            assertEquals(1, target.leases.last().acknowledged)
        }

        @Test
        fun `nothing starts at a new life before it has announced its capacity`() {
            connectTarget()
            target.answerLease(life = 2)
            runManager.dispatch(entry, dispatch())
            assertEquals(listOf(TaskEvent.NOT_STARTED), events())
            runManager.targetAnnounced(targetDescription(life = 2))
            runManager.dispatch(entry, dispatch(attempt = 2))
            assertEquals(1, target.starts.size)
        }

        // Guards against starts at a leaving target whose wall clock stepped back before it started again.
        @Test
        fun `the drain of a target that started again after its clock stepped back is heard`() {
            runManager.targetAnnounced(targetDescription(life = 5))
            target.answerLease(life = 5)
            runManager.targetAnnounced(targetDescription(life = 3, draining = true))
            target.answerLease(life = 3)
            runManager.dispatch(entry, dispatch())
            assertEquals(emptyList(), target.starts)
            assertEquals(listOf(TaskEvent.NOT_STARTED), events())
        }

        @Test
        fun `a target that started again after its clock stepped back is used from its first announcement on`() {
            runManager.targetAnnounced(targetDescription(life = 5))
            target.answerLease(life = 5)
            runManager.targetAnnounced(targetDescription(life = 3))
            target.answerLease(life = 3)
            runManager.dispatch(entry, dispatch())
            assertEquals(1, target.starts.size)
        }

        @Test
        fun `a delayed announcement of a former life with a later start ends no run`() {
            connectTarget()
            val run = startRun()
            runManager.targetAnnounced(targetDescription(life = 9, sequence = 4, draining = true))
            target.answerLease(running = listOf(run))
            assertEquals(listOf(TaskEvent.STARTED), events())
            assertTrue(runManager.capacityReport().accepting)
        }

        @Test
        fun `a delayed announcement of a former target ends no run`() {
            connectTarget()
            val run = startRun()
            runManager.targetAnnounced(targetDescription(id = "t0", life = 9))
            target.answerLease(running = listOf(run))
            assertEquals(listOf(TaskEvent.STARTED), events())
            assertTrue(runManager.capacityReport().accepting)
        }

        @Test
        fun `nothing starts until the target has answered whether an announcement of another life is true`() {
            connectTarget()
            runManager.targetAnnounced(targetDescription(life = 2))
            runManager.dispatch(entry, dispatch())
            assertEquals(emptyList(), target.starts)
            target.answerLease(life = 2)
            assertEquals(1, target.starts.size)
        }

        @Test
        fun `a run goes on until its lease has expired after the target has said that it leaves`() {
            connectTarget()
            startRun()
            runManager.targetLeft(TargetId("t1"))
            assertEquals(listOf(TaskEvent.STARTED), events())
            clock.advance(lease)
            runManager.tick()
            assertEquals(listOf(TaskEvent.STARTED), events())
            clock.advance(200.milliseconds)
            runManager.tick()
            assertEquals(listOf(TaskEvent.STARTED, TaskEvent.STOPPED), events())
        }

        @Test
        fun `a target that has left gets no lease and no task`() {
            connectTarget()
            startRun()
            val calls = target.leases.size
            runManager.targetLeft(TargetId("t1"))
            target.leases.last().answer(LeaseResult.NoAnswer("no connection"))
            clock.advance(100.milliseconds)
            runManager.tick()
            runManager.dispatch(entry, dispatch(job = "00000000000000a2"))
            assertEquals(calls, target.leases.size)
            assertEquals(1, target.starts.size)
        }

        @Test
        fun `a target that has left without runs is forgotten at once`() {
            connectTarget()
            runManager.targetLeft(TargetId("t1"))
            assertEquals(null, runManager.service)
        }

        @Test
        fun `a delayed deregistration of a former life ends no run`() {
            connectTarget()
            val run = startRun()
            runManager.targetAnnounced(targetDescription(life = 2))
            target.answerLease(running = listOf(run), life = 2)
            runManager.targetLeft(TargetId("t1"), life = 1)
            assertEquals(listOf(TaskEvent.STARTED), events())
            assertTrue(runManager.capacityReport().accepting)
        }

        @Test
        fun `another target at the address takes the place of the former one`() {
            connectTarget()
            startRun()
            runManager.targetAnnounced(targetDescription(id = "t2", life = 1))
            target.leases.last().answer(LeaseResult.OtherTarget)
            assertEquals(listOf(TaskEvent.STARTED, TaskEvent.STOPPED), events())
            target.answerLease()
            runManager.dispatch(entry, dispatch(attempt = 2))
            assertEquals(2, target.starts.size)
        }
    }

    @Nested
    inner class Leases {
        @Test
        fun `a lease ends on the clock of the target no later than its duration`() {
            target.clock = 5.seconds
            connectTarget()
            clock.advance(100.milliseconds)
            runManager.dispatch(entry, dispatch())
            val until =
                target.starts
                    .single()
                    .order.leaseUntil
            assertTrue(until <= 5.seconds + 100.milliseconds + lease)
            assertTrue(until > 5.seconds + 90.milliseconds + lease)
        }

        @Test
        fun `an end is acknowledged with the next lease call`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            val run = confirmStart()
            target.answerLease(ended = listOf(run to RunEnd.DONE))
            assertEquals(1, target.leases.last().acknowledged)
        }

        @Test
        fun `a fence that is too low is raised`() {
            connectTarget()
            runManager.dispatch(entry, dispatch())
            target.starts.single().answer(StartResult.Refused(StartRefusal.FENCED))
            assertTrue(
                target.starts
                    .last()
                    .order.fence > 7,
            )
        }
    }
}
