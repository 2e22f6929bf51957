package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.trial.VirtualTimeScheduler
import io.bluebellramp.core.TargetId
import io.bluebellramp.jobs.LeaseResult
import io.bluebellramp.jobs.ListedEnd
import io.bluebellramp.jobs.RunEnd
import io.bluebellramp.jobs.RunKey
import io.bluebellramp.jobs.StartOrder
import io.bluebellramp.jobs.StartResult
import io.bluebellramp.jobs.TargetPort
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulated target that starts each run it is ordered to. Each direction of a call takes [CALL_DELAY] and no message is lost.
 * [disturbances] make it slow, fail its runs, hang or crash. Leases do not expire here: `JobsSimulationTest` covers that.
 */
internal class SimulatedTarget(
    val id: TargetId,
    val kind: TargetKind,
    private val time: VirtualTimeScheduler,
    private val random: Random,
    private val disturbances: List<Disturbance>,
    private val runTimes: (RunKey) -> Duration,
) : TargetPort {
    private class Running(
        val key: RunKey,
        val startedAt: Duration,
        val endsAt: Duration,
        val hangs: Boolean,
    )

    private val running = LinkedHashMap<RunKey, Running>()
    private val ended = ArrayList<ListedEnd>()
    private var lastEndNumber = 0L
    private var answerOpenCall: (() -> Unit)? = null

    private fun isAffectedBy(kind: Disturbance.Kind) = disturbances.any { it.kind == kind && it.isActive(time.now) }

    override fun start(
        target: TargetId,
        order: StartOrder,
        onResult: (StartResult) -> Unit,
    ) = call(StartResult.NoAnswer, onResult) {
        val slowness = disturbances.filter { it.kind == Disturbance.Kind.SLOW && it.isActive(time.now) }.maxOfOrNull { it.factor } ?: 1.0
        val fullRunTime = runTimes(order.run) / kind.speed * slowness
        val hangs = isAffectedBy(Disturbance.Kind.HANGING)
        val run = Running(order.run, time.now, time.now + fullRunTime, hangs)
        running[order.run] = run
        val fails = isAffectedBy(Disturbance.Kind.FAILING)
        val endsAfter = if (fails) fullRunTime * random.nextDouble() else fullRunTime
        if (!hangs) time.after(endsAfter) { end(run, if (fails) RunEnd.FAILED else RunEnd.DONE) }
        StartResult.Started
    }

    override fun stop(
        target: TargetId,
        run: RunKey,
        fence: Long,
        onResult: (Boolean) -> Unit,
    ) = call(false, onResult) {
        running[run]?.let { stoppedRun -> time.after(STOP_TIME) { end(stoppedRun, RunEnd.STOPPED) } }
        true
    }

    override fun lease(
        target: TargetId,
        leaseUntil: Duration?,
        acknowledged: Long,
        fence: Long,
        wait: Duration,
        onResult: (LeaseResult) -> Unit,
    ) {
        if (isAffectedBy(Disturbance.Kind.CRASHED)) {
            time.after(CALL_DELAY) { onResult(LeaseResult.NoAnswer("crashed")) }
            return
        }
        ended.removeAll { it.number <= acknowledged }
        var isAnswered = false
        val answer = {
            if (!isAnswered) {
                isAnswered = true
                time.after(CALL_DELAY) { onResult(runList()) }
            }
        }
        if (ended.isNotEmpty() || wait <= Duration.ZERO) return answer()
        answerOpenCall = answer
        time.after(wait, answer)
    }

    /** Drops all runs, as a crash of the target does. */
    fun crash() {
        running.clear()
        ended.clear()
    }

    private fun runList() = LeaseResult.RunList(1, time.now, running.values.associate { it.key to percent(it) }, ended.toList())

    private fun percent(run: Running): Int {
        if (run.hangs) return 0
        return ((time.now - run.startedAt) / (run.endsAt - run.startedAt) * PERCENT).toInt().coerceIn(0, PERCENT - 1)
    }

    private fun end(
        run: Running,
        how: RunEnd,
    ) {
        if (running.remove(run.key) == null) return
        ended += ListedEnd(++lastEndNumber, run.key, how)
        answerOpenCall?.invoke()
        answerOpenCall = null
    }

    private fun <T> call(
        noAnswer: T,
        onResult: (T) -> Unit,
        action: () -> T,
    ) = time.after(CALL_DELAY) {
        val result = if (isAffectedBy(Disturbance.Kind.CRASHED)) noAnswer else action()
        time.after(CALL_DELAY) { onResult(result) }
    }

    private companion object {
        /** One-way delay between an agent and its target on the same VM, including processing. */
        val CALL_DELAY = 1.milliseconds

        /** Time to stop a run. The platform allows at most 50 ms. */
        val STOP_TIME = 25.milliseconds
        const val PERCENT = 100
    }
}
