package io.bluebellramp.placement

import kotlin.time.Duration

/**
 * Tasks that wait for room at one target.
 *
 * Answers short bursts: the task whose latest useful start comes first goes first, and a task that does not fit into the free room lets
 * smaller ones behind it pass, so that no room stays empty.
 */
class RunQueue<T> {
    private class Item<T>(
        val task: T,
        val milliCpu: Int,
        val memoryMb: Int,
        val startBy: Duration,
        val order: Long,
    )

    private val items = ArrayList<Item<T>>()
    private var added = 0L

    val size: Int get() = items.size

    /** Adds [task], whose start after [startBy] is of no use. */
    fun add(
        task: T,
        milliCpu: Int,
        memoryMb: Int,
        startBy: Duration,
    ) {
        val item = Item(task, milliCpu, memoryMb, startBy, added++)
        val found = items.binarySearch(item, compareBy<Item<T>> { it.startBy }.thenBy { it.order })
        items.add(if (found < 0) -found - 1 else found, item)
    }

    /** Removes and returns the next task that fits, or null. */
    fun takeFitting(
        freeMilliCpu: Int,
        freeMemoryMb: Int,
    ): T? {
        val index = items.indexOfFirst { it.milliCpu <= freeMilliCpu && it.memoryMb <= freeMemoryMb }
        return if (index < 0) null else items.removeAt(index).task
    }

    /** Removes and returns the tasks whose latest start has passed. */
    fun takeExpired(now: Duration): List<T> {
        val expired = items.takeWhile { it.startBy < now }
        items.subList(0, expired.size).clear()
        return expired.map { it.task }
    }

    /** Removes and returns the tasks that match [predicate]. */
    fun removeAll(predicate: (T) -> Boolean): List<T> {
        val removed = items.filter { predicate(it.task) }
        items.removeAll(removed.toSet())
        return removed.map { it.task }
    }
}
