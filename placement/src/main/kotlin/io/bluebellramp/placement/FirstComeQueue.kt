package io.bluebellramp.placement

import io.bluebellramp.core.SubmissionId
import kotlin.time.Duration

/** Runs jobs in the order of their arrival. It is the baseline that other orders are compared with. */
class FirstComeQueue : JobQueue {
    private class Entry(
        val waiting: ArrayDeque<Int>,
        var left: Int,
    )

    private val jobs = LinkedHashMap<SubmissionId, Entry>()

    override var waiting = 0
        private set

    override fun add(job: QueuedJob) {
        jobs[job.submission] = Entry(waiting = ArrayDeque(job.tasks), left = job.tasks.size)
        waiting += job.tasks.size
    }

    override fun take(now: Duration): TaskPick? {
        val (submission, entry) = jobs.entries.firstOrNull { it.value.waiting.isNotEmpty() } ?: return null
        waiting--
        return TaskPick(submission, entry.waiting.removeFirst())
    }

    override fun giveBack(
        submission: SubmissionId,
        task: Int,
    ) {
        val entry = jobs[submission] ?: return
        entry.waiting.addFirst(task)
        waiting++
    }

    override fun ended(
        submission: SubmissionId,
        task: Int,
    ) {
        val entry = jobs[submission] ?: return
        entry.left--
        if (entry.left == 0) jobs.remove(submission)
    }

    override fun remove(submission: SubmissionId): List<Int> {
        val entry = jobs.remove(submission) ?: return emptyList()
        waiting -= entry.waiting.size
        return entry.waiting.toList()
    }

    override fun demand(now: Duration): QueueDemand =
        QueueDemand(
            tasks = waiting,
            tasksLeft =
                jobs.values
                    .firstOrNull { it.waiting.isNotEmpty() }
                    ?.left ?: 0,
        )
}
