package io.bluebellramp.bench.trial

import kotlin.random.Random
import kotlin.time.Duration

/** Strategy by which an entry chooses the executor of a task that it pushes. */
internal enum class ExecutorChoice {
    RANDOM,
    TWO_CHOICES,
    LEAST_LOADED,
}

/** Push-based dispatcher: sends each task to an executor as soon as its job arrives, and executors queue them. Used by three baselines. */
internal class PushSystem(
    private val context: TrialContext,
    private val choice: ExecutorChoice,
    private val reportPeriod: Duration,
) : TrialSystem {
    private val time = context.time
    private val site = context.site
    private val random = Random(context.settings.seed)
    private val queues = context.executors.map { ArrayDeque<TrialTask>() }
    private val zonesOut = HashSet<Int>()

    /** Load of each executor as estimated by each entry. */
    private val estimatedLoads = List(context.settings.entries) { IntArray(context.executors.size) }

    init {
        if (choice == ExecutorChoice.LEAST_LOADED) time.every(reportPeriod, wanted = { context.isRunning }, action = ::report)
    }

    override fun submit(job: TrialJob) =
        job.plan.tasks.indices
            .forEach { send(TrialTask(job, it)) }

    override fun cancel(job: TrialJob) {
        job.isStopped = true
        context.executors.forEach { _ -> context.tally.countMessage(MessageKind.CANCEL) }
        queues.forEach { queue -> queue.removeAll { it.job === job } }
    }

    override fun zoneOut(zone: Int) {
        zonesOut += zone
        for (executor in context.executors.filter { site.zoneOf(it.index) == zone }) {
            val queued = queues[executor.index].toList()
            queues[executor.index].clear()
            queued.forEach { refuse(it) }
        }
    }

    override fun zoneIn(zone: Int) {
        zonesOut -= zone
    }

    private fun refuse(task: TrialTask) {
        context.tally.countMessage(MessageKind.REFUSAL)
        send(task)
    }

    private fun send(task: TrialTask) {
        if (task.job.isStopped) return
        val entry = task.job.entry
        val index = choose(entry)
        estimatedLoads[entry][index]++
        context.tally.countMessage(MessageKind.DISPATCH)
        time.after(site.delay(entry, index)) { arrive(task, index) }
    }

    private fun choose(entry: Int): Int {
        val executorsInService = context.executors.indices.filter { site.zoneOf(it) !in zonesOut }
        return when (choice) {
            ExecutorChoice.RANDOM -> executorsInService.random(random)
            ExecutorChoice.TWO_CHOICES -> List(2) { probe(executorsInService) }.minBy { load(it) }
            ExecutorChoice.LEAST_LOADED -> executorsInService.shuffled(random).minBy { estimatedLoads[entry][it] }
        }
    }

    private fun probe(executorsInService: List<Int>): Int {
        repeat(2) { context.tally.countMessage(MessageKind.PROBE) }
        return executorsInService.random(random)
    }

    private fun load(index: Int) = context.executors[index].running + queues[index].size

    private fun report() {
        for (executor in context.executors) {
            val load = load(executor.index)
            estimatedLoads.forEachIndexed { entry, loads ->
                context.tally.countMessage(MessageKind.REPORT)
                time.after(site.delay(entry, executor.index)) { loads[executor.index] = load }
            }
        }
    }

    private fun arrive(
        task: TrialTask,
        index: Int,
    ) {
        if (site.zoneOf(index) in zonesOut) return refuse(task)
        queues[index] += task
        startNext(index)
    }

    private fun startNext(index: Int) {
        val executor = context.executors[index]
        while (executor.free > 0 && site.zoneOf(index) !in zonesOut) {
            val task = queues[index].removeFirstOrNull() ?: return
            if (!task.job.isStopped) executor.run(task) { _, failed -> ended(task, index, failed) }
        }
    }

    private fun ended(
        task: TrialTask,
        index: Int,
        failed: Boolean,
    ) {
        context.tally.countMessage(MessageKind.OUTCOME)
        time.after(site.delay(task.job.entry, index)) { context.taskEnded(task.job, failed) }
        startNext(index)
    }
}
