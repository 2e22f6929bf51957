package io.bluebellramp.placement

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Tasks that wait for room at one target, in a line for each queue that they came by.
 *
 * Answers overload: free room goes to the most urgent queues first, and among those of the same urgency to the line whose queue was given least work lately, so a kind of request that asks for more than its
 * share of the target waits for the rest and crowds nobody out. In a line the task whose latest start in time comes first goes first. A task
 * that does not fit into the free room lets smaller ones pass, so that no room stays empty.
 */
class RunQueue<T> {
    private class Item<T>(
        val task: T,
        val milliCpu: Int,
        val memoryMb: Int,
        val work: Long,
        val startBy: Duration,
        val dueAt: Duration,
        val order: Long,
    )

    private class Line<T> {
        var priority = 0
        val items = ArrayList<Item<T>>()
        private var given = 0.0
        private var givenAt = Duration.ZERO

        fun given(now: Duration) = given * 0.5.pow((now - givenAt) / HALF_LIFE)

        fun give(
            work: Long,
            now: Duration,
        ) {
            given = given(now) + work
            givenAt = now
        }
    }

    private val lines = LinkedHashMap<String, Line<T>>()
    private var added = 0L

    val size: Int get() = lines.values.sumOf { it.items.size }

    /**
     * Adds [task] of [queue], which is given back after [startBy].
     *
     * @param dueAt latest start with which its job ends in time; the task with the earliest goes first
     * @param work processor need times expected run time
     * @param priority urgency of [queue], 0 first; queues of the same one share what those before them leave
     */
    fun add(
        task: T,
        queue: String,
        milliCpu: Int,
        memoryMb: Int,
        work: Long,
        startBy: Duration,
        dueAt: Duration = startBy,
        priority: Int = 0,
    ) {
        val item = Item(task, milliCpu, memoryMb, work, startBy, dueAt, added++)
        val line = lines.getOrPut(queue) { Line() }
        line.priority = priority
        val items = line.items
        val found = items.binarySearch(item, compareBy<Item<T>> { it.dueAt }.thenBy { it.order })
        items.add(if (found < 0) -found - 1 else found, item)
    }

    /** Removes and returns the next task that fits, or null. Its work counts as given to its queue. */
    fun takeFitting(
        now: Duration,
        freeMilliCpu: Int,
        freeMemoryMb: Int,
    ): T? {
        for ((_, line) in inOrder(now)) {
            val index = line.items.indexOfFirst { it.milliCpu <= freeMilliCpu && it.memoryMb <= freeMemoryMb }
            if (index < 0) continue
            val item = line.items.removeAt(index)
            line.give(item.work, now)
            return item.task
        }
        return null
    }

    /** Returns the work that waits by queue, in the order in which the queues get the next free room. */
    fun waiting(now: Duration): List<Pair<String, Long>> = inOrder(now).map { (name, line) -> name to line.items.sumOf { it.work } }

    /** Removes and returns the tasks that have waited too long. */
    fun takeExpired(now: Duration): List<T> = remove { it.startBy < now }

    /** Removes and returns the tasks that match [predicate]. */
    fun removeAll(predicate: (T) -> Boolean): List<T> = remove { predicate(it.task) }

    private fun remove(predicate: (Item<T>) -> Boolean): List<T> =
        lines.values.flatMap { line ->
            val removed = line.items.filter(predicate)
            if (removed.isNotEmpty()) line.items.removeAll(removed.toSet())
            removed.map { it.task }
        }

    private fun inOrder(now: Duration) = lines.entries.sortedWith(compareBy({ it.value.priority }, { it.value.given(now) }))

    private companion object {
        /** What was given counts half after this time: longer than the tasks, shorter than a change of the load. */
        val HALF_LIFE = 2.seconds
    }
}
