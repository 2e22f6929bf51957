package io.bluebellramp.agent

/**
 * The running and waiting attempts of one kind, tasks or requests. No I/O; confined to the coroutine of the core.
 *
 * @param prefetch how many attempts may wait beyond the limit
 */
internal class AttemptQueue(
    private val prefetch: Int,
) {
    private val queue = ArrayDeque<Attempt>()

    /** How many attempts may run at once. Lowering it does not stop running attempts. */
    var limit = 0

    /** How many attempts are running. */
    var running = 0
        private set

    /** How many attempts are waiting. */
    val queued: Int get() = queue.size

    /** How many more attempts may be added, to run or to wait. May be negative after the limit was lowered. */
    val freePlaces: Int get() = limit + prefetch - running - queue.size

    /** Whether an attempt is waiting and the limit allows it to run. */
    val canStart: Boolean get() = queue.isNotEmpty() && running < limit

    /** Adds a waiting attempt. */
    fun add(attempt: Attempt) = queue.addLast(attempt)

    /** Removes and returns the attempt that has waited longest. */
    fun poll(): Attempt = queue.removeFirst()

    /** Marks [attempt] as running and counts it. */
    fun markStarted(attempt: Attempt) {
        attempt.isRunning = true
        running++
    }

    /** Counts the end of a running attempt. */
    fun markEnded() {
        running--
    }

    /** Removes and returns the waiting attempts that match [condition]. */
    fun remove(condition: (Attempt) -> Boolean): List<Attempt> {
        val removed = queue.filter(condition)
        queue.removeAll(removed)
        return removed
    }
}
