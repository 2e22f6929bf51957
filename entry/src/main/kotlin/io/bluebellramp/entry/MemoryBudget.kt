package io.bluebellramp.entry

import java.util.concurrent.atomic.AtomicLong

/**
 * Counts the estimated memory of calls, open submissions, queued log lines and cached ids. Thread-safe.
 *
 * New calls are refused while the budget is used up. Accepted work continues and is always counted, even beyond the limit, so that overload
 * makes an entry refuse calls but does not crash it.
 *
 * @property maxBytes the limit (bytes)
 */
internal class MemoryBudget(
    val maxBytes: Long = defaultMaxBytes(),
) {
    private val reservedBytes = AtomicLong()

    /** Memory that is currently reserved (bytes). */
    val usedBytes get() = reservedBytes.get()

    /** Reserves [bytes] for a new call, or returns null if the budget is used up. If nothing else is reserved, it always succeeds. */
    fun tryReserve(bytes: Long): Reservation? {
        val before = reservedBytes.getAndAdd(bytes)
        if (before == 0L || before + bytes <= maxBytes) return Reservation(this, bytes)
        release(bytes)
        return null
    }

    /** Reserves [bytes], even beyond the limit. A negative value releases memory. */
    fun reserve(bytes: Long) {
        reservedBytes.addAndGet(bytes)
    }

    /** Releases [bytes]. */
    fun release(bytes: Long) = reserve(-bytes)

    /** The memory that one call or submission has reserved from [budget]. Not thread-safe. */
    class Reservation(
        private val budget: MemoryBudget,
        private var bytes: Long = 0,
    ) {
        private var isClosed = false

        /** Changes the reserved size to [bytes]. */
        fun resize(bytes: Long) = add(bytes - this.bytes)

        /** Reserves [additionalBytes] more, unless this reservation is closed. */
        fun add(additionalBytes: Long) {
            if (isClosed) return
            bytes += additionalBytes
            budget.reserve(additionalBytes)
        }

        /** Releases everything. Later changes have no effect. */
        fun close() {
            resize(0)
            isClosed = true
        }
    }

    private companion object {
        /** Fraction of the heap. The rest is for cached results, connections to agents and callers, and garbage. */
        const val HEAP_FRACTION = 0.4

        fun defaultMaxBytes() = (Runtime.getRuntime().maxMemory() * HEAP_FRACTION).toLong()
    }
}
