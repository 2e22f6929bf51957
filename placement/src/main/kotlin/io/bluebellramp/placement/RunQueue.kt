package io.bluebellramp.placement

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tasks that wait for capacity at one target, grouped by the request queue through which they arrived.
 *
 * Under overload, free capacity goes to the queues with the highest priority, and among equal priorities to the queue that was served
 * the least work recently. A queue that asks for more than its share therefore cannot starve the others. Within a queue, the task with
 * the earliest latest start goes first. A task that does not fit into the free capacity is passed over by smaller ones, so that no
 * capacity stays unused.
 */
class RunQueue<T> {
    private class Item<T>(
        val task: T,
        val milliCpu: Int,
        val memoryMb: Int,
        val cpuMicros: Long,
        val startBy: Duration,
        val dueAt: Duration,
        val sequence: Long,
    )

    private class QueueBacklog<T> {
        var priority = 0
        val items = ArrayList<Item<T>>()
        private var servedCpuMicros = 0.0
        private var servedAt = Duration.ZERO

        fun servedCpuMicros(now: Duration) = servedCpuMicros * 0.5.pow((now - servedAt) / SERVED_WORK_HALF_LIFE)

        fun addServed(
            cpuMicros: Long,
            now: Duration,
        ) {
            servedCpuMicros = servedCpuMicros(now) + cpuMicros
            servedAt = now
        }
    }

    private val backlogs = LinkedHashMap<String, QueueBacklog<T>>()
    private var nextSequence = 0L

    val size: Int get() = backlogs.values.sumOf { it.items.size }

    /**
     * Adds [task] of [queue]. It expires after [startBy].
     *
     * @param dueAt latest start with which its job meets its objective; the earliest goes first
     * @param cpuMicros estimated processor time (core-microseconds)
     * @param priority priority of [queue], 0 is the highest; queues of equal priority share what higher ones leave
     */
    fun add(
        task: T,
        queue: String,
        milliCpu: Int,
        memoryMb: Int,
        cpuMicros: Long,
        startBy: Duration,
        dueAt: Duration = startBy,
        priority: Int = 0,
    ) {
        val item = Item(task, milliCpu, memoryMb, cpuMicros, startBy, dueAt, nextSequence++)
        val backlog = backlogs.getOrPut(queue) { QueueBacklog() }
        backlog.priority = priority
        val items = backlog.items
        val position = items.binarySearch(item, compareBy<Item<T>> { it.dueAt }.thenBy { it.sequence })
        items.add(if (position < 0) -position - 1 else position, item)
    }

    /** Removes and returns the next task that fits, or null. Its processor time counts as served to its queue. */
    fun takeFitting(
        now: Duration,
        freeMilliCpu: Int,
        freeMemoryMb: Int,
    ): T? {
        for ((_, backlog) in inServiceOrder(now)) {
            val index = backlog.items.indexOfFirst { it.milliCpu <= freeMilliCpu && it.memoryMb <= freeMemoryMb }
            if (index < 0) continue
            val item = backlog.items.removeAt(index)
            backlog.addServed(item.cpuMicros, now)
            return item.task
        }
        return null
    }

    /** Returns the waiting processor time by queue (core-microseconds), in the order in which the queues are served next. */
    fun cpuMicrosByQueue(now: Duration): List<Pair<String, Long>> =
        inServiceOrder(now).map { (name, backlog) ->
            name to
                backlog.items.sumOf { it.cpuMicros }
        }

    /** Removes and returns the tasks whose latest start has passed. Forgets queues without tasks whose served work no longer counts. */
    fun takeExpired(now: Duration): List<T> {
        val expired = remove { it.startBy < now }
        backlogs.values.removeIf { it.items.isEmpty() && it.servedCpuMicros(now) < NEGLIGIBLE_CPU_MICROS }
        return expired
    }

    /** Removes and returns the tasks that match [predicate]. */
    fun removeAll(predicate: (T) -> Boolean): List<T> = remove { predicate(it.task) }

    private fun remove(predicate: (Item<T>) -> Boolean): List<T> =
        backlogs.values.flatMap { backlog ->
            val removed = backlog.items.filter(predicate)
            if (removed.isNotEmpty()) backlog.items.removeAll(removed.toSet())
            removed.map { it.task }
        }

    private fun inServiceOrder(now: Duration) =
        backlogs.entries.sortedWith(compareBy({ it.value.priority }, { it.value.servedCpuMicros(now) }))

    private companion object {
        /** Half-life of the served work: longer than the run time of a task, shorter than a typical change of the load. */
        val SERVED_WORK_HALF_LIFE = 2.seconds

        /** Less than any task takes (core-microseconds). */
        const val NEGLIGIBLE_CPU_MICROS = 1_000.0
    }
}
