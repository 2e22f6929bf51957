package io.bluebellramp.bench.trial

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Simulated executor with a number of slots.
 *
 * @property slowness factor on the run time of its tasks
 * @property isFailing whether every task fails shortly after its start
 */
internal class TrialExecutor(
    val index: Int,
    val slots: Int,
    private val time: VirtualTimeScheduler,
    private val tally: TrialTally,
    private val slowness: Double,
    private val isFailing: Boolean,
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
        val startedAt = time.now
        val runTime = if (isFailing) FAILURE_DELAY else task.runTime * slowness
        time.after(runTime) {
            running--
            tally.addBusyTime(startedAt, time.now)
            if (isFailing) tally.failed++
            ended(runTime, isFailing)
        }
    }

    private companion object {
        val FAILURE_DELAY = 10.milliseconds
    }
}
