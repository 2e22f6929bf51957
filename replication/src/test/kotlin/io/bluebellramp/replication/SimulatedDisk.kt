package io.bluebellramp.replication

import io.bluebellramp.messages.LogRecord
import kotlin.random.Random

/** A disk in memory that keeps what is synced. A crash keeps a random number of the first unsynced writes and loses the others. */
internal class SimulatedDisk(
    initial: StoredState = StoredState(null, null, emptyList()),
) {
    var state = initial
        private set
    private var unsyncedWrites = emptyList<StorageWrite>()

    fun beginWrite(writes: List<StorageWrite>) {
        unsyncedWrites = writes
    }

    fun sync() {
        unsyncedWrites.forEach(::store)
        unsyncedWrites = emptyList()
    }

    fun crash(random: Random) {
        unsyncedWrites.take(random.nextInt(unsyncedWrites.size + 1)).forEach(::store)
        unsyncedWrites = emptyList()
    }

    fun wipe() {
        state = StoredState(null, null, emptyList())
        unsyncedWrites = emptyList()
    }

    private fun store(write: StorageWrite) {
        state =
            when (write) {
                is StorageWrite.Vote -> state.copy(vote = write.state)
                is StorageWrite.Append -> state.copy(records = state.records.before(write.records.first().index) + write.records)
                is StorageWrite.Snapshot -> state.copy(snapshot = write.snapshot, records = write.remaining)
            }
    }

    private fun List<LogRecord>.before(index: Long) = takeWhile { it.index < index }
}
