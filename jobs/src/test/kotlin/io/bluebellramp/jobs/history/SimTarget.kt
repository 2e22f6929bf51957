package io.bluebellramp.jobs.history

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

/** A target as the platform describes it: it starts what it is told to, under a lease, and knows runs that it has ended. */
internal class SimTarget(
    private val world: World,
    private val name: String,
    private val all: List<SimTarget>,
) {
    class Running(
        val key: RunKey,
        val milliCpu: Int,
        val endsAt: Duration,
        val startedAt: Duration,
    )

    val id get() = TargetId("$name-$life")
    var life = 1L
        private set
    var sequence = 0L
        private set
    val running = LinkedHashMap<TaskKey, Running>()
    private val ended = ArrayList<ListedEnd>()
    private val barred = HashMap<TaskKey, Int>()
    private var ends = 0L
    private var fence = 0L
    private var bornAt = world.monotonic()
    private var leaseUntil = Duration.ZERO
    private val waiting = ArrayList<() -> Unit>()

    /** The target's steady clock runs 2% slow. */
    private val clock get() = (world.monotonic() - bornAt) / SLOW

    init {
        world.every(5.milliseconds, { true }) { pass() }
    }

    fun nextSequence() = ++sequence

    fun crash() {
        life++
        sequence = 0
        running.clear()
        ended.clear()
        barred.clear()
        waiting.clear()
        ends = 0
        fence = 0
        leaseUntil = Duration.ZERO
        bornAt = world.monotonic()
    }

    fun start(
        order: StartOrder,
        milliCpu: Int,
        runTime: Duration,
    ): StartResult {
        if (order.fence < fence) return StartResult.Refused(StartRefusal.FENCED)
        fence = order.fence
        if (order.run.number <= (barred[order.run.task] ?: 0)) return StartResult.Refused(StartRefusal.OLD_NUMBER)
        val there = running[order.run.task]
        if (there?.key == order.run) return StartResult.Started
        if (order.leaseUntil <= clock) return StartResult.Refused(StartRefusal.LATE)
        leaseUntil = maxOf(leaseUntil, order.leaseUntil)
        check(order, milliCpu)
        running[order.run.task] = Running(order.run, milliCpu, world.monotonic() + runTime, world.monotonic())
        return StartResult.Started
    }

    fun stop(run: RunKey) {
        barred[run.task] = maxOf(run.number, barred[run.task] ?: 0)
        val there = running[run.task]?.takeIf { it.key == run } ?: return
        world.after(world.random.nextInt(50).milliseconds) { if (running[run.task] === there) end(there, RunEnd.STOPPED) }
    }

    fun lease(
        until: Duration?,
        acknowledged: Long,
        newFence: Long,
        wait: Duration,
        answer: (LeaseResult) -> Unit,
    ) {
        fence = maxOf(fence, newFence)
        if (until != null) leaseUntil = maxOf(leaseUntil, minOf(until, clock + MOST_LEASE))
        ended.removeAll { it.number <= acknowledged }
        var isAnswered = false
        val list = {
            if (!isAnswered) {
                isAnswered = true
                answer(LeaseResult.Listed(life, clock, running.values.associate { it.key to progress(it) }, ended.toList()))
            }
        }
        if (ended.isNotEmpty() || wait <= Duration.ZERO) return list()
        waiting += list
        world.after(wait, list)
    }

    private fun progress(run: Running) = ((world.monotonic() - run.startedAt) * 100 / (run.endsAt - run.startedAt)).toInt()

    private fun check(
        order: StartOrder,
        milliCpu: Int,
    ) {
        val used = running.values.sumOf { it.milliCpu }
        if (used + milliCpu > MILLI_CPU) world.violated("$name has $used of $MILLI_CPU in use and starts ${order.run}")
        val other = all.firstOrNull { order.run.task in it.running }
        if (other != null) world.violated("${order.run} starts at $name beside ${other.running[order.run.task]?.key} at ${other.name}")
    }

    private fun pass() {
        if (running.isNotEmpty() && clock > leaseUntil) running.values.toList().forEach { end(it, RunEnd.LAPSED) }
        val due = running.values.filter { it.endsAt <= world.monotonic() }
        due.forEach { end(it, if (world.chance(0.02)) RunEnd.FAILED else RunEnd.DONE) }
    }

    private fun end(
        run: Running,
        how: RunEnd,
    ) {
        running.remove(run.key.task)
        barred[run.key.task] = maxOf(run.key.number, barred[run.key.task] ?: 0)
        ended += ListedEnd(++ends, run.key, how)
        val open = waiting.toList()
        waiting.clear()
        open.forEach { it() }
    }

    companion object {
        const val MILLI_CPU = 10_000
        const val SLOW = 1.02
        val MOST_LEASE = 1000.milliseconds
    }
}
