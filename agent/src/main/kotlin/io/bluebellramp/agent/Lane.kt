package io.bluebellramp.agent

/**
 * The attempts of one kind, tasks or requests, that run or wait. No I/O; confined to the coroutine of the core.
 *
 * @param prefetch how many may wait beyond the limit
 */
internal class Lane(
    private val prefetch: Int,
) {
    private val queue = ArrayDeque<Attempt>()

    /** How many may run at once. Attempts that run already go on if it falls. */
    var limit = 0

    /** How many run. */
    var running = 0
        private set

    /** How many wait. */
    val queued: Int get() = queue.size

    /** Places, to run or to wait, that are not taken. Negative after the limit fell. */
    val places: Int get() = limit + prefetch - running - queue.size

    /** Whether one that waits may run as far as the limit goes. */
    val canStart: Boolean get() = queue.isNotEmpty() && running < limit

    /** Adds an attempt to the queue. */
    fun add(attempt: Attempt) = queue.addLast(attempt)

    /** Takes the attempt that has waited longest out of the queue. */
    fun poll(): Attempt = queue.removeFirst()

    /** Counts an attempt that starts. */
    fun started(attempt: Attempt) {
        attempt.isRunning = true
        running++
    }

    /** Counts an attempt that ended. */
    fun ended() {
        running--
    }

    /** Takes the waiting attempts out that match [condition]. */
    fun remove(condition: (Attempt) -> Boolean): List<Attempt> {
        val removed = queue.filter(condition)
        queue.removeAll(removed)
        return removed
    }
}
