package io.bluebellramp.entry

import java.util.concurrent.atomic.AtomicLong

/**
 * Counts the memory that calls, open submissions, waiting log lines and remembered ids are estimated to hold. Safe for use by many threads.
 *
 * A new call is refused while there is no room for it. What was accepted is always counted, also beyond the bound, and goes on. So
 * load makes an entry refuse calls but never ends it.
 *
 * @property most the bound (bytes)
 */
internal class MemoryBudget(
    val most: Long = heapShare(),
) {
    private val held = AtomicLong()

    /** What is counted now (bytes). */
    val used get() = held.get()

    /** Counts [bytes] for a new call. Returns its share, or null if there is no room. A call that is alone always gets its share. */
    fun admit(bytes: Long): Share? {
        val before = held.getAndAdd(bytes)
        if (before == 0L || before + bytes <= most) return Share(this, bytes)
        give(bytes)
        return null
    }

    /** Counts [bytes] more, or fewer if they are negative. */
    fun take(bytes: Long) {
        held.addAndGet(bytes)
    }

    /** Counts [bytes] no longer. */
    fun give(bytes: Long) = take(-bytes)

    /** What one call or submission holds of [budget]. Use it from one thread at a time. */
    class Share(
        private val budget: MemoryBudget,
        private var bytes: Long = 0,
    ) {
        private var isClosed = false

        /** Sets what is counted to [bytes]. */
        fun resize(bytes: Long) = take(bytes - this.bytes)

        /** Counts [more] bytes, unless it is closed. */
        fun take(more: Long) {
            if (isClosed) return
            bytes += more
            budget.take(more)
        }

        /** Counts nothing any more. */
        fun close() {
            resize(0)
            isClosed = true
        }
    }

    private companion object {
        /** Share of the heap. The rest is for results that are kept, links to agents, connections and garbage. */
        const val HEAP_SHARE = 0.4

        fun heapShare() = (Runtime.getRuntime().maxMemory() * HEAP_SHARE).toLong()
    }
}
