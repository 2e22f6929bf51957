package io.bluebellramp.replication

/** Tracks up to which index the own log is durable. */
internal class SyncedIndex(
    initial: Long,
) {
    private class Pending(
        val output: Long,
        var lastIndex: Long,
    )

    private val pending = ArrayDeque<Pending>()

    var index = initial
        private set

    /** The output [number] was issued while the log ended at [lastIndex]. */
    fun issued(
        number: Long,
        lastIndex: Long,
    ) {
        pending += Pending(number, lastIndex)
    }

    /** The records from [from] on were dropped. */
    fun truncated(from: Long) {
        index = minOf(index, from - 1)
        pending.forEach { it.lastIndex = minOf(it.lastIndex, from - 1) }
    }

    /** All outputs up to [number] are durable. */
    fun synced(number: Long) {
        while (pending.isNotEmpty() && pending.first().output <= number) index = pending.removeFirst().lastIndex
    }
}
