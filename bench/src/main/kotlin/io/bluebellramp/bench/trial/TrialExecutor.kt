package io.bluebellramp.bench.trial

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * The slots of one executor.
 *
 * @property slowness factor on the run time of its tasks
 * @property failing true if it fails every task soon after its start
 */
internal class TrialExecutor(
    val index: Int,
    val slots: Int,
    private val time: VirtualTime,
    private val tally: TrialTally,
    private val slowness: Double,
    private val failing: Boolean,
) {
    var running = 0
        private set

    val free: Int get() = slots - running

    /** Runs [task] and then calls [ended] with its run time and whether it failed. */
    fun run(
        task: TrialTask,
        ended: (Duration, Boolean) -> Unit,
    ) {
        check(running < slots) { "executor $index has no free slot" }
        running++
        tally.started++
        val began = time.now
        val runTime = if (failing) FAILS_AFTER else task.runTime * slowness
        time.after(runTime) {
            running--
            tally.busy(began, time.now)
            if (failing) tally.failed++
            ended(runTime, failing)
        }
    }

    private companion object {
        val FAILS_AFTER = 10.milliseconds
    }
}
