package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.trial.VirtualTime
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
 * A target that starts what it is told to. Its answers take [CALL] and are never lost; it may be slow, fail, hang or be gone for a while.
 * Leases do not run out here: `JobsSimulationTest` covers that.
 */
internal class ModelTarget(
    val id: TargetId,
    val kind: TargetKind,
    private val time: VirtualTime,
    private val random: Random,
    private val troubles: List<Trouble>,
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
    private var ends = 0L
    private var open: (() -> Unit)? = null

    private fun isIn(kind: Trouble.Kind) = troubles.any { it.kind == kind && it.isOn(time.now) }

    override fun start(
        target: TargetId,
        order: StartOrder,
        onResult: (StartResult) -> Unit,
    ) = call(StartResult.NoAnswer, onResult) {
        val slowness = troubles.filter { it.kind == Trouble.Kind.SLOW && it.isOn(time.now) }.maxOfOrNull { it.factor } ?: 1.0
        val takes = runTimes(order.run) / kind.speed * slowness
        val hangs = isIn(Trouble.Kind.HANGING)
        val run = Running(order.run, time.now, time.now + takes, hangs)
        running[order.run] = run
        val fails = isIn(Trouble.Kind.FAILING)
        val until = if (fails) takes * random.nextDouble() else takes
        if (!hangs) time.after(until) { end(run, if (fails) RunEnd.FAILED else RunEnd.DONE) }
        StartResult.Started
    }

    override fun stop(
        target: TargetId,
        run: RunKey,
        fence: Long,
        onResult: (Boolean) -> Unit,
    ) = call(false, onResult) {
        running[run]?.let { there -> time.after(STOP) { end(there, RunEnd.STOPPED) } }
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
        if (isIn(Trouble.Kind.CRASHED)) {
            time.after(CALL) { onResult(LeaseResult.NoAnswer("crashed")) }
            return
        }
        ended.removeAll { it.number <= acknowledged }
        var isAnswered = false
        val answer = {
            if (!isAnswered) {
                isAnswered = true
                time.after(CALL) { onResult(listing()) }
            }
        }
        if (ended.isNotEmpty() || wait <= Duration.ZERO) return answer()
        open = answer
        time.after(wait, answer)
    }

    /** Everything that runs is gone, as with a crash. */
    fun crash() {
        running.clear()
        ended.clear()
    }

    private fun listing() = LeaseResult.RunList(1, time.now, running.values.associate { it.key to percent(it) }, ended.toList())

    private fun percent(run: Running): Int {
        if (run.hangs) return 0
        return ((time.now - run.startedAt) / (run.endsAt - run.startedAt) * PERCENT).toInt().coerceIn(0, PERCENT - 1)
    }

    private fun end(
        run: Running,
        how: RunEnd,
    ) {
        if (running.remove(run.key) == null) return
        ended += ListedEnd(++ends, run.key, how)
        open?.invoke()
        open = null
    }

    private fun <T> call(
        noAnswer: T,
        onResult: (T) -> Unit,
        action: () -> T,
    ) = time.after(CALL) {
        val result = if (isIn(Trouble.Kind.CRASHED)) noAnswer else action()
        time.after(CALL) { onResult(result) }
    }

    private companion object {
        /** One way between an agent and its target on the same VM, with the processes' own time. */
        val CALL = 1.milliseconds

        /** Time that ending a run takes; at most 50 ms by the platform. */
        val STOP = 25.milliseconds
        const val PERCENT = 100
    }
}
