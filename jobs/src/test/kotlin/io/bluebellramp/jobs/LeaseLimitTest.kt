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
import kotlin.test.assertNotNull
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** When a [RunManager] lets the leases of its target run out. */
class LeaseLimitTest {
    private val clock = FakeClock()
    private val target = FakeTarget()
    private val outputs = RecordingRunOutputs()
    private val lease = 650.milliseconds
    private val leaseAfterContact = 1100.milliseconds
    private val runManager =
        RunManager(clock, target, outputs, ZoneId("z1"), lease, fence = 7, leaseAfterContact = leaseAfterContact)
    private val entry = LinkId(1)
    private val stoppedJob = JobId("00000000000000a1")
    private val neighbour = JobId("00000000000000a2")

    private fun announce(id: String = "t1") =
        runManager.targetAnnounced(
            TargetDescription(TargetId(id), 1, 1, SERVICE, false, milliCpu = 10_000, memoryMb = 1000, address = "10.0.0.1:1"),
        )

    private fun dispatch(job: JobId) =
        runManager.dispatch(
            entry,
            StepDispatch(
                job = job,
                step = 0,
                tasks = listOf(0),
                attempt = 1,
                queue = QUEUE.name,
                service = SERVICE,
                milliCpu = 1000,
                memoryMb = 10,
                spec = "s",
                startWithinMillis = 200,
                estimateMillis = 5000,
            ),
        )

    private fun start(job: JobId): RunKey {
        dispatch(job)
        target.starts.last().answer(StartResult.Started)
        return target.starts
            .last()
            .order.run
    }

    private fun events() = outputs.reports.map { it.second.event }

    /** Lets [time] pass in steps, at each of which the target lists [running] and the run manager ticks. */
    private fun pass(
        time: Duration,
        running: List<RunKey>,
    ) {
        val end = clock.monotonic() + time
        while (clock.monotonic() < end) {
            clock.advance(50.milliseconds)
            target.clock += 50.milliseconds
            target.answerLease(running = running)
            runManager.tick()
        }
    }

    /** Returns the time from now to the end of the lease of the latest call, on the clock of the target. */
    private fun granted() =
        target.leases
            .last()
            .until
            ?.minus(target.clock)

    @Nested
    inner class UnansweredStop {
        private lateinit var runs: List<RunKey>

        private fun stopWithoutAnswer() {
            announce()
            target.answerLease()
            runs = listOf(start(stoppedJob), start(neighbour))
            runManager.stopJob(entry, stoppedJob)
        }

        // Guards against a run that works on beside its successor because each lease call extends the lease of a run that could not be stopped.
        @Test
        fun `no lease reaches beyond the duration of a lease after the first order to stop`() {
            stopWithoutAnswer()
            pass(300.milliseconds, runs)
            assertTrue(assertNotNull(granted()) <= 350.milliseconds, "granted ${granted()}")
            pass(350.milliseconds, runs)
            assertEquals(null, granted())
        }

        @Test
        fun `leases are extended again once the order to stop is answered`() {
            stopWithoutAnswer()
            pass(300.milliseconds, runs)
            target.stops.last().answer(true)
            pass(50.milliseconds, runs)
            assertEquals(lease, granted())
        }

        @Test
        fun `leases are extended again once the run is listed as ended`() {
            stopWithoutAnswer()
            pass(700.milliseconds, runs)
            assertEquals(null, granted())
            target.answerLease(ended = runs.map { it to RunEnd.LAPSED })
            assertEquals(listOf(TaskEvent.STOPPED, TaskEvent.STOPPED), events().takeLast(2))
            assertEquals(lease, granted())
        }

        @Test
        fun `new tasks are returned while the leases run out, and this is logged once`() {
            stopWithoutAnswer()
            pass(500.milliseconds, runs)
            assertFalse(runManager.capacityReport().accepting)
            val starts = target.starts.size
            dispatch(JobId("00000000000000a3"))
            assertEquals(starts, target.starts.size)
            assertEquals(TaskEvent.NOT_STARTED, events().last())
            assertEquals(1, outputs.decisions.count { it.kind == "leases_withheld" })
            target.stops.last().answer(true)
            pass(50.milliseconds, runs)
            assertTrue(runManager.capacityReport().accepting)
            assertEquals(1, outputs.decisions.count { it.kind == "leases_extended" })
        }
    }

    @Nested
    inner class UnansweredStart {
        private lateinit var run: RunKey
        private lateinit var neighbourRun: RunKey

        private fun leaveStartAndStopUnanswered() {
            announce()
            target.answerLease()
            neighbourRun = start(neighbour)
            dispatch(stoppedJob)
            val order = target.starts.last()
            run = order.order.run
            order.answer(StartResult.NoAnswer)
            runManager.stopJob(entry, stoppedJob)
        }

        // Guards against losing all runs of a target over a run that is not at work.
        @Test
        fun `a run that the target does not list withholds no lease`() {
            leaveStartAndStopUnanswered()
            pass(1000.milliseconds, listOf(neighbourRun))
            assertEquals(lease, granted())
            assertTrue(runManager.capacityReport().accepting)
        }

        @Test
        fun `a run that is listed later withholds the leases at once`() {
            leaveStartAndStopUnanswered()
            pass(1000.milliseconds, listOf(neighbourRun))
            pass(50.milliseconds, listOf(run, neighbourRun))
            assertEquals(null, granted())
        }

        @Test
        fun `without lists a run with an unanswered start may be at work`() {
            leaveStartAndStopUnanswered()
            pass(100.milliseconds, listOf(neighbourRun))
            clock.advance(700.milliseconds)
            runManager.tick()
            target.leases.last().answer(LeaseResult.NoAnswer("no answer"))
            clock.advance(50.milliseconds)
            runManager.tick()
            assertEquals(null, target.leases.last().until)
        }
    }

    @Nested
    inner class SilentEntry {
        private lateinit var run: RunKey

        private fun startAfterContact() {
            announce()
            target.answerLease()
            runManager.entryReached(entry, sentAt = clock.monotonic())
            run = start(stoppedJob)
        }

        // Guards against a run that outlasts the time for which its entry, cut off or paused, waits before it places the task again.
        @Test
        fun `no lease reaches beyond the limit after the last frame that the entry is known to have received`() {
            startAfterContact()
            pass(800.milliseconds, listOf(run))
            assertTrue(assertNotNull(granted()) <= 300.milliseconds, "granted ${granted()}")
            runManager.linkDown(entry)
            pass(300.milliseconds, listOf(run))
            assertEquals(null, granted())
        }

        @Test
        fun `a newer contact extends the leases, an older one does not shorten them`() {
            startAfterContact()
            pass(800.milliseconds, listOf(run))
            runManager.entryReached(entry, sentAt = clock.monotonic() - 100.milliseconds)
            runManager.entryReached(entry, sentAt = clock.monotonic() - 800.milliseconds)
            pass(50.milliseconds, listOf(run))
            assertEquals(lease, granted())
        }

        // Guards against a queued task that starts at an agent which was paused for so long that the entry has placed it elsewhere.
        @Test
        fun `a task that waits for capacity does not start when the list is the first thing read after a pause`() {
            startAfterContact()
            repeat(10) { dispatch(JobId("00000000000000b$it")) }
            val starts = target.starts.size
            clock.advance(1200.milliseconds)
            target.answerLease(ended = listOf(run to RunEnd.LAPSED))
            assertEquals(starts, target.starts.size)
            assertEquals(null, granted())
        }

        @Test
        fun `the last contact of a lost link is kept until its runs are over`() {
            startAfterContact()
            runManager.linkDown(entry)
            runManager.entryReached(entry, sentAt = clock.monotonic() + 500.milliseconds)
            pass(1100.milliseconds, listOf(run))
            assertEquals(null, granted())
            target.answerLease(ended = listOf(run to RunEnd.LAPSED))
            assertEquals(lease, granted())
        }
    }

    @Nested
    inner class UnknownRuns {
        private val orphanedRun = RunKey(TaskKey(stoppedJob, 0, 0), 3)

        // Guards against a run of a killed agent that the next agent keeps at work while its task is placed elsewhere.
        @Test
        fun `runs that an earlier agent left get no lease`() {
            announce()
            target.answerLease(running = listOf(orphanedRun))
            assertEquals(null, granted())
            target.answerLease(ended = listOf(orphanedRun to RunEnd.STOPPED))
            assertEquals(lease, granted())
        }
    }

    @Nested
    inner class LeavingTarget {
        // Guards against runs that go on after their target has said that they end with it.
        @Test
        fun `a target that has left gets no lease while it is asked whether another one has taken its place`() {
            announce()
            target.answerLease()
            start(stoppedJob)
            val calls = target.leases.size
            runManager.targetLeft(TargetId("t1"))
            announce(id = "t2")
            assertEquals(calls + 1, target.leases.size)
            assertEquals(null, granted())
        }
    }
}
