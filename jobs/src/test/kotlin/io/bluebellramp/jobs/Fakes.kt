package io.bluebellramp.jobs

import io.bluebellramp.core.Clock
import io.bluebellramp.core.JobId
import io.bluebellramp.core.ServiceId
import io.bluebellramp.core.TargetId
import io.bluebellramp.messages.Queue
import io.bluebellramp.messages.QueueWork
import io.bluebellramp.messages.RoomReport
import io.bluebellramp.messages.StepDispatch
import io.bluebellramp.messages.TaskReport
import java.time.Instant
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** A clock that a test advances. The wall clock can be advanced alone, as by a suspension of the VM. */
internal class FakeClock : Clock {
    private var now = 100.seconds
    private var wallShift = Duration.ZERO

    override fun monotonic(): Duration = now

    override fun wall(): Instant = Instant.EPOCH + (now + wallShift).toJavaDuration()

    fun advance(time: Duration) {
        now += time
    }

    fun advanceWallClock(time: Duration) {
        wallShift += time
    }
}

internal val SERVICE = ServiceId("desk")

internal val QUEUE =
    Queue(name = "q", host = "h", prefix = "/q/", service = SERVICE, priority = 0, attempts = 3, stretch = 1.6, allowanceMillis = 60)

internal fun request(
    id: String = "00000000000000a1",
    tasks: Int = 1,
    estimate: Duration = 100.milliseconds,
    timeout: Duration = 1500.milliseconds,
    queue: Queue = QUEUE,
    steps: List<StepRequest> = listOf(StepRequest(tasks, milliCpu = 3000, memoryMb = 64, estimate = estimate)),
) = JobRequest(JobId(id), queue, "spec", steps, timeout)

internal fun capacityReport(
    freeMilliCpu: Int = 32_000,
    queuedCpuMicros: Long = 0,
    accepting: Boolean = true,
    received: Long = 0,
) = RoomReport(
    service = SERVICE,
    accepting = accepting,
    milliCpu = 32_000,
    memoryMb = 10_000,
    freeMilliCpu = freeMilliCpu,
    freeMemoryMb = 10_000,
    waiting = listOf(QueueWork(QUEUE.name, queuedCpuMicros)),
    received = received,
)

/** Records the outputs of a [JobScheduler]. */
internal class RecordingJobOutputs : JobOutputs {
    val dispatches = ArrayList<Pair<LinkId, StepDispatch>>()
    val stops = ArrayList<Pair<LinkId, JobId>>()
    val decisions = ArrayList<JobDecision>()

    override fun dispatch(
        link: LinkId,
        dispatch: StepDispatch,
    ) {
        dispatches += link to dispatch
    }

    override fun stop(
        link: LinkId,
        job: JobId,
    ) {
        stops += link to job
    }

    override fun onDecision(decision: JobDecision) {
        decisions += decision
    }
}

/** Records the outputs of a [RunManager]. */
internal class RecordingRunOutputs : RunOutputs {
    val reports = ArrayList<Pair<LinkId, TaskReport>>()
    val cancels = ArrayList<Pair<JobId, LinkId>>()
    val decisions = ArrayList<JobDecision>()

    override fun report(
        link: LinkId,
        report: TaskReport,
    ) {
        reports += link to report
    }

    override fun reportCancelled(
        job: JobId,
        from: LinkId,
    ) {
        cancels += job to from
    }

    override fun capacityChanged() = Unit

    override fun onDecision(decision: JobDecision) {
        decisions += decision
    }
}

/** A target whose answers are given by the test, in any order. */
internal class FakeTarget : TargetPort {
    class Start(
        val order: StartOrder,
        val answer: (StartResult) -> Unit,
    )

    class Stop(
        val run: RunKey,
        val answer: (Boolean) -> Unit,
    )

    class Lease(
        val until: Duration?,
        val acknowledged: Long,
        val answer: (LeaseResult) -> Unit,
    )

    val starts = ArrayList<Start>()
    val stops = ArrayList<Stop>()
    val leases = ArrayList<Lease>()
    var clock = 5.seconds
    private var lastEndNumber = 0L

    override fun start(
        target: TargetId,
        order: StartOrder,
        onResult: (StartResult) -> Unit,
    ) {
        starts += Start(order, onResult)
    }

    override fun stop(
        target: TargetId,
        run: RunKey,
        fence: Long,
        onResult: (Boolean) -> Unit,
    ) {
        stops += Stop(run, onResult)
    }

    override fun lease(
        target: TargetId,
        leaseUntil: Duration?,
        acknowledged: Long,
        fence: Long,
        wait: Duration,
        onResult: (LeaseResult) -> Unit,
    ) {
        leases += Lease(leaseUntil, acknowledged, onResult)
    }

    /** Answers the latest lease call. */
    fun answerLease(
        running: List<RunKey> = emptyList(),
        percent: Int = 0,
        ended: List<Pair<RunKey, RunEnd>> = emptyList(),
        life: Long = 1,
        isComplete: Boolean = true,
    ) {
        val listed = ended.map { (run, end) -> ListedEnd(++lastEndNumber, run, end) }
        val list = LeaseResult.RunList(life = life, clock = clock, running = running.associateWith { percent }, ended = listed, isComplete)
        leases.last().answer(list)
    }
}
