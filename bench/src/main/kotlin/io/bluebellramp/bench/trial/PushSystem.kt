package io.bluebellramp.bench.trial

import kotlin.random.Random
import kotlin.time.Duration

/** How a pushing entry chooses the executor of a task. */
internal enum class PushChoice {
    RANDOM,
    TWO_CHOICES,
    LEAST_LOADED,
}

/** Sends each task to an executor as soon as its job arrives; executors queue. The family of the first three baselines. */
internal class PushSystem(
    private val world: TrialWorld,
    private val choice: PushChoice,
    private val reportPeriod: Duration,
) : TrialSystem {
    private val time = world.time
    private val site = world.site
    private val random = Random(world.settings.seed)
    private val queues = world.executors.map { ArrayDeque<TrialTask>() }
    private val zonesOut = HashSet<Int>()

    /** Load of each executor as each entry believes it. */
    private val believed = List(world.settings.entries) { IntArray(world.executors.size) }

    init {
        if (choice == PushChoice.LEAST_LOADED) time.every(reportPeriod, wanted = { world.busy }, action = ::report)
    }

    override fun submit(job: TrialJob) =
        job.plan.tasks.indices
            .forEach { send(TrialTask(job, it)) }

    override fun cancel(job: TrialJob) {
        job.stopped = true
        world.executors.forEach { _ -> world.tally.message(MessageKind.CANCEL) }
        queues.forEach { queue -> queue.removeAll { it.job === job } }
    }

    override fun zoneOut(zone: Int) {
        zonesOut += zone
        for (executor in world.executors.filter { site.zoneOf(it.index) == zone }) {
            val queued = queues[executor.index].toList()
            queues[executor.index].clear()
            queued.forEach { refuse(it) }
        }
    }

    override fun zoneIn(zone: Int) {
        zonesOut -= zone
    }

    private fun refuse(task: TrialTask) {
        world.tally.message(MessageKind.REFUSAL)
        send(task)
    }

    private fun send(task: TrialTask) {
        if (task.job.stopped) return
        val entry = task.job.entry
        val index = choose(entry)
        believed[entry][index]++
        world.tally.message(MessageKind.DISPATCH)
        time.after(site.delay(entry, index)) { arrive(task, index) }
    }

    private fun choose(entry: Int): Int {
        val usable = world.executors.indices.filter { site.zoneOf(it) !in zonesOut }
        return when (choice) {
            PushChoice.RANDOM -> usable.random(random)
            PushChoice.TWO_CHOICES -> List(2) { probe(usable) }.minBy { load(it) }
            PushChoice.LEAST_LOADED -> usable.shuffled(random).minBy { believed[entry][it] }
        }
    }

    private fun probe(usable: List<Int>): Int {
        repeat(2) { world.tally.message(MessageKind.PROBE) }
        return usable.random(random)
    }

    private fun load(index: Int) = world.executors[index].running + queues[index].size

    private fun report() {
        for (executor in world.executors) {
            val load = load(executor.index)
            believed.forEachIndexed { entry, loads ->
                world.tally.message(MessageKind.REPORT)
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
        val executor = world.executors[index]
        while (executor.free > 0 && site.zoneOf(index) !in zonesOut) {
            val task = queues[index].removeFirstOrNull() ?: return
            if (!task.job.stopped) executor.run(task) { _, failed -> ended(task, index, failed) }
        }
    }

    private fun ended(
        task: TrialTask,
        index: Int,
        failed: Boolean,
    ) {
        world.tally.message(MessageKind.OUTCOME)
        time.after(site.delay(task.job.entry, index)) { world.taskEnded(task.job, failed) }
        startNext(index)
    }
}
