package io.bluebellramp.bench

import java.util.PriorityQueue
import java.util.TreeSet
import kotlin.time.Duration

/** The number of slots in service from [at] on. */
internal data class SlotsFrom(
    val at: Duration,
    val slots: Int,
)

/**
 * The response of each job under a central scheduler that knows every run time and has no delay.
 *
 * It is the best, by mean response, of a few list schedules: fewest tasks left first, and least work left first, each with the
 * longest task of a job first.
 */
internal object IdealSchedule {
    private class Work(
        val job: JobPlan,
    ) {
        val waiting = ArrayDeque(job.tasks.sortedDescending())
        var left = job.tasks.size
        var work = job.work
        var end = Duration.ZERO
    }

    private class Running(
        val work: Work,
        val ran: Duration,
        val end: Duration,
    )

    private val orders: List<Comparator<Work>> =
        listOf(
            compareBy({ it.left }, { it.job.index }),
            compareBy({ it.work }, { it.job.index }),
        )

    /** Returns the response of each of [jobs] on [slots] slots, by index. */
    fun responses(
        jobs: List<JobPlan>,
        slots: Int,
    ): List<Duration> = responses(jobs, listOf(SlotsFrom(at = Duration.ZERO, slots = slots)))

    /** Returns the response of each of [jobs] on slots whose number changes, by index. */
    fun responses(
        jobs: List<JobPlan>,
        slots: List<SlotsFrom>,
    ): List<Duration> = orders.map { run(jobs, slots, it) }.minBy { it.fold(Duration.ZERO, Duration::plus) }

    private fun run(
        jobs: List<JobPlan>,
        slots: List<SlotsFrom>,
        order: Comparator<Work>,
    ): List<Duration> {
        val works = jobs.map { Work(it) }
        val arrivals = ArrayDeque(works)
        val waiting = TreeSet(order)
        val running = PriorityQueue<Running>(compareBy { it.end })
        val changes = ArrayDeque(slots)
        var open = 0
        while (arrivals.isNotEmpty() || running.isNotEmpty() || waiting.isNotEmpty()) {
            val now = listOfNotNull(arrivals.firstOrNull()?.job?.at, running.peek()?.end, changes.firstOrNull()?.at).min()
            while (changes.isNotEmpty() && changes.first().at <= now) open = changes.removeFirst().slots
            while (running.isNotEmpty() && running.peek().end <= now) end(running.poll(), waiting)
            while (arrivals.isNotEmpty() && arrivals.first().job.at <= now) waiting += arrivals.removeFirst()
            while (running.size < open && waiting.isNotEmpty()) running += start(waiting.first(), waiting, now)
        }
        return works.map { it.end - it.job.at }
    }

    private fun start(
        work: Work,
        waiting: TreeSet<Work>,
        now: Duration,
    ): Running {
        val ran = work.waiting.removeFirst()
        if (work.waiting.isEmpty()) waiting.remove(work)
        return Running(work, ran, now + ran)
    }

    private fun end(
        running: Running,
        waiting: TreeSet<Work>,
    ) {
        val work = running.work
        val isWaiting = waiting.remove(work)
        work.left--
        work.work -= running.ran
        work.end = maxOf(work.end, running.end)
        if (isWaiting) waiting += work
    }
}
