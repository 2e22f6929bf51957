package io.bluebellramp.replication

/** Tracks the index up to which this member's own log is synced to disk. */
internal class SyncedIndex(
    initialIndex: Long,
) {
    private class PendingOutput(
        val outputNumber: Long,
        var lastIndex: Long,
    )

    private val pending = ArrayDeque<PendingOutput>()

    var index = initialIndex
        private set

    /** Adds the output [outputNumber], whose writes are not durable yet. The log ended at [lastIndex] when it was created. */
    fun addPending(
        outputNumber: Long,
        lastIndex: Long,
    ) {
        pending += PendingOutput(outputNumber, lastIndex)
    }

    /** Accounts for the removal of all records from index [from] on. */
    fun truncateFrom(from: Long) {
        index = minOf(index, from - 1)
        pending.forEach { it.lastIndex = minOf(it.lastIndex, from - 1) }
    }

    /** Accounts for the writes of all outputs up to [outputNumber] being durable. */
    fun markSynced(outputNumber: Long) {
        while (pending.isNotEmpty() && pending.first().outputNumber <= outputNumber) index = pending.removeFirst().lastIndex
    }
}
