package io.bluebellramp.replication

import io.bluebellramp.messages.LogRecord
import kotlin.random.Random

/** A disk that keeps what is synced; a crash loses any part of the rest. */
internal class FakeDisk {
    var state = StoredState(null, null, emptyList())
        private set
    private var unsynced = emptyList<StorageWrite>()

    fun begin(writes: List<StorageWrite>) {
        unsynced = writes
    }

    fun sync() {
        unsynced.forEach(::store)
        unsynced = emptyList()
    }

    fun crash(random: Random) {
        unsynced.take(random.nextInt(unsynced.size + 1)).forEach(::store)
        unsynced = emptyList()
    }

    fun wipe() {
        state = StoredState(null, null, emptyList())
        unsynced = emptyList()
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
