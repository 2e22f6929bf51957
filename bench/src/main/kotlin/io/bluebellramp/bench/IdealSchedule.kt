package io.bluebellramp.bench

import java.util.PriorityQueue
import java.util.TreeSet
import kotlin.time.Duration

/** Sets the number of slots in service to [slots] from [at] on. */
internal data class SlotCountChange(
    val at: Duration,
    val slots: Int,
)

/**
 * Computes the response time of each job under a central scheduler that knows every run time and has no delay.
 *
 * Two list schedules are simulated, and the one with the lower mean response time is used: fewest remaining tasks first, and
 * least remaining work first. Both run the longest task of a job first.
 */
internal object IdealSchedule {
    private class PendingJob(
        val job: JobPlan,
    ) {
        val waitingTasks = ArrayDeque(job.tasks.sortedDescending())
        var remainingTasks = job.tasks.size
        var remainingWork = job.work
        var end = Duration.ZERO
    }

    private class RunningTask(
        val pendingJob: PendingJob,
        val runTime: Duration,
        val end: Duration,
    )

    private val jobOrders: List<Comparator<PendingJob>> =
        listOf(
            compareBy({ it.remainingTasks }, { it.job.index }),
            compareBy({ it.remainingWork }, { it.job.index }),
        )

    /** Returns the response time of each of [jobs], by index, on a constant number of [slots]. */
    fun responses(
        jobs: List<JobPlan>,
        slots: Int,
    ): List<Duration> = responses(jobs, listOf(SlotCountChange(at = Duration.ZERO, slots = slots)))

    /** Returns the response time of each of [jobs], by index, while the number of slots changes as given by [slots]. */
    fun responses(
        jobs: List<JobPlan>,
        slots: List<SlotCountChange>,
    ): List<Duration> = jobOrders.map { simulate(jobs, slots, it) }.minBy { it.fold(Duration.ZERO, Duration::plus) }

    private fun simulate(
        jobs: List<JobPlan>,
        slots: List<SlotCountChange>,
        order: Comparator<PendingJob>,
    ): List<Duration> {
        val pendingJobs = jobs.map { PendingJob(it) }
        val arrivals = ArrayDeque(pendingJobs)
        val waitingJobs = TreeSet(order)
        val running = PriorityQueue<RunningTask>(compareBy { it.end })
        val slotChanges = ArrayDeque(slots)
        var slotCount = 0
        while (arrivals.isNotEmpty() || running.isNotEmpty() || waitingJobs.isNotEmpty()) {
            val now = listOfNotNull(arrivals.firstOrNull()?.job?.arrivesAt, running.peek()?.end, slotChanges.firstOrNull()?.at).min()
            while (slotChanges.isNotEmpty() && slotChanges.first().at <= now) slotCount = slotChanges.removeFirst().slots
            while (running.isNotEmpty() && running.peek().end <= now) endTask(running.poll(), waitingJobs)
            while (arrivals.isNotEmpty() && arrivals.first().job.arrivesAt <= now) waitingJobs += arrivals.removeFirst()
            while (running.size < slotCount && waitingJobs.isNotEmpty()) running += startTask(waitingJobs.first(), waitingJobs, now)
        }
        return pendingJobs.map { it.end - it.job.arrivesAt }
    }

    private fun startTask(
        pendingJob: PendingJob,
        waitingJobs: TreeSet<PendingJob>,
        now: Duration,
    ): RunningTask {
        val runTime = pendingJob.waitingTasks.removeFirst()
        if (pendingJob.waitingTasks.isEmpty()) waitingJobs.remove(pendingJob)
        return RunningTask(pendingJob, runTime, now + runTime)
    }

    private fun endTask(
        running: RunningTask,
        waitingJobs: TreeSet<PendingJob>,
    ) {
        val pendingJob = running.pendingJob
        val isWaiting = waitingJobs.remove(pendingJob)
        pendingJob.remainingTasks--
        pendingJob.remainingWork -= running.runTime
        pendingJob.end = maxOf(pendingJob.end, running.end)
        if (isWaiting) waitingJobs += pendingJob
    }
}
