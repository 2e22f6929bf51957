package io.bluebellramp.jobs.history

import io.bluebellramp.core.JobId
import io.bluebellramp.core.TargetId
import io.bluebellramp.jobs.LeaseResult
import io.bluebellramp.jobs.ListedEnd
import io.bluebellramp.jobs.RunEnd
import io.bluebellramp.jobs.RunKey
import io.bluebellramp.jobs.StartOrder
import io.bluebellramp.jobs.StartRefusal
import io.bluebellramp.jobs.StartResult
import io.bluebellramp.jobs.TaskKey
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A target that behaves as the platform specifies: it starts runs under a lease and refuses runs with an outdated number or fence. */
internal class SimTarget(
    private val sim: Simulation,
    private val name: String,
    private val allTargets: List<SimTarget>,
) {
    class Running(
        val key: RunKey,
        val milliCpu: Int,
        val endsAt: Duration,
        val startedAt: Duration,
    )

    val id get() = TargetId("$name-$identityNumber")
    private var identityNumber = 1
    var life = 1L
        private set
    var sequence = 0L
        private set
    val running = LinkedHashMap<TaskKey, Running>()

    /** Jobs of which a task has started in any life. */
    val startedJobs = HashSet<JobId>()
    private val ended = ArrayList<ListedEnd>()
    private val highestSeenNumbers = HashMap<TaskKey, Int>()
    private var lastEndNumber = 0L
    private var fence = 0L
    private var lifeStartedAt = sim.monotonic()
    private var leaseUntil = Duration.ZERO
    private val openLeaseCalls = ArrayList<() -> Unit>()

    /** The monotonic clock of the target, which runs 2% slow. */
    private val clock get() = (sim.monotonic() - lifeStartedAt) / CLOCK_DRIFT_FACTOR

    init {
        sim.every(5.milliseconds, { true }) { endDueRuns() }
    }

    fun nextSequence() = ++sequence

    /** Ends the life and starts another one, under the same id if [keepsId] is true. The wall clock may have stepped back between them. */
    fun crash(keepsId: Boolean) {
        if (!keepsId) identityNumber++
        life += if (sim.chance(0.3)) -WALL_CLOCK_STEP else 1
        sequence = 0
        running.clear()
        ended.clear()
        highestSeenNumbers.clear()
        openLeaseCalls.clear()
        lastEndNumber = 0
        fence = 0
        leaseUntil = Duration.ZERO
        lifeStartedAt = sim.monotonic()
    }

    fun start(
        order: StartOrder,
        milliCpu: Int,
        runTime: Duration,
    ): StartResult {
        if (order.fence < fence) return StartResult.Refused(StartRefusal.FENCED)
        fence = order.fence
        if (order.run.number <= (highestSeenNumbers[order.run.task] ?: 0)) return StartResult.Refused(StartRefusal.OLD_NUMBER)
        val existing = running[order.run.task]
        if (existing?.key == order.run) return StartResult.Started
        if (order.leaseUntil <= clock) return StartResult.Refused(StartRefusal.LATE)
        extendLease(order.leaseUntil)
        checkInvariants(order, milliCpu)
        startedJobs += order.run.task.job
        running[order.run.task] = Running(order.run, milliCpu, sim.monotonic() + runTime, sim.monotonic())
        return StartResult.Started
    }

    fun stop(run: RunKey) {
        highestSeenNumbers[run.task] = maxOf(run.number, highestSeenNumbers[run.task] ?: 0)
        val existing = running[run.task]?.takeIf { it.key == run } ?: return
        sim.after(sim.random.nextInt(50).milliseconds) { if (running[run.task] === existing) endRun(existing, RunEnd.STOPPED) }
    }

    fun lease(
        until: Duration?,
        acknowledged: Long,
        newFence: Long,
        wait: Duration,
        answer: (LeaseResult) -> Unit,
    ) {
        fence = maxOf(fence, newFence)
        if (until != null) extendLease(until)
        ended.removeAll { it.number <= acknowledged }
        var isAnswered = false
        val list = {
            if (!isAnswered) {
                isAnswered = true
                answer(LeaseResult.RunList(life, clock, running.values.associate { it.key to progress(it) }, ended.toList()))
            }
        }
        if (ended.isNotEmpty() || wait <= Duration.ZERO) return list()
        openLeaseCalls += list
        sim.after(wait, list)
    }

    /** Shortens a longer lease, such as one by the clock of a former life, to the longest that a target grants. */
    private fun extendLease(until: Duration) {
        leaseUntil = maxOf(leaseUntil, minOf(until, clock + MAX_LEASE))
    }

    private fun progress(run: Running) = ((sim.monotonic() - run.startedAt) * 100 / (run.endsAt - run.startedAt)).toInt()

    private fun checkInvariants(
        order: StartOrder,
        milliCpu: Int,
    ) {
        val used = running.values.sumOf { it.milliCpu }
        if (used + milliCpu > MILLI_CPU) sim.recordViolation("$name has $used of $MILLI_CPU in use and starts ${order.run}")
        val other = allTargets.firstOrNull { order.run.task in it.running }
        if (other != null) sim.recordViolation("${order.run} starts at $name beside ${other.running[order.run.task]?.key} at ${other.name}")
    }

    private fun endDueRuns() {
        if (running.isNotEmpty() && clock > leaseUntil) running.values.toList().forEach { endRun(it, RunEnd.LAPSED) }
        val due = running.values.filter { it.endsAt <= sim.monotonic() }
        due.forEach { endRun(it, if (sim.chance(0.02)) RunEnd.FAILED else RunEnd.DONE) }
    }

    private fun endRun(
        run: Running,
        runEnd: RunEnd,
    ) {
        running.remove(run.key.task)
        highestSeenNumbers[run.key.task] = maxOf(run.key.number, highestSeenNumbers[run.key.task] ?: 0)
        ended += ListedEnd(++lastEndNumber, run.key, runEnd)
        val calls = openLeaseCalls.toList()
        openLeaseCalls.clear()
        calls.forEach { it() }
    }

    companion object {
        const val MILLI_CPU = 10_000
        const val CLOCK_DRIFT_FACTOR = 1.02

        /** Larger than the number of lives, so that no two lives have the same number. */
        private const val WALL_CLOCK_STEP = 1000L
        val MAX_LEASE = 1000.milliseconds
    }
}
