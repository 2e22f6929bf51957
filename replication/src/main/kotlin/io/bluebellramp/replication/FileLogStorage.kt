package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.LogRecord
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.ByteBuffer

/**
 * Stores the state of a member in the files `vote`, `snapshot` and `log` of [folder].
 *
 * A process may be killed between any two operations on the files. [open] therefore makes what it returns durable, and leaves files that say
 * the same: what an earlier process wrote last may be unsynced, and the log may not belong to the snapshot.
 *
 * @property onSync called after each write of records with the time that the write and its sync took (ns)
 */
internal class FileLogStorage(
    private val folder: DataFolder,
    private val path: String,
    private val onSync: (Long) -> Unit = {},
) : LogStorage {
    private var logFile: DataFile? = null
    private var failure: StorageError? = null

    override fun open(member: MemberId): StorageOpenResult =
        try {
            if (folder.lock()) read(member) else refuse(StorageError.Locked(path))
        } catch (e: IOException) {
            refuse(StorageError.Failed("cannot open data folder $path: $e"))
        }

    override fun persist(writes: List<StorageWrite>): StorageError? {
        failure?.let { return it }
        try {
            for (write in mergeWrites(writes)) persist(write)
        } catch (e: IOException) {
            failure = StorageError.Failed("cannot write to data folder $path: $e")
        }
        return failure
    }

    override fun close() {
        logFile?.close()
        folder.close()
    }

    private fun refuse(error: StorageError): StorageOpenResult {
        close()
        return StorageOpenResult.Refused(error)
    }

    private fun read(member: MemberId): StorageOpenResult =
        try {
            // An earlier process may have renamed a file and been killed before the new name was durable.
            folder.syncNames()
            val vote = readFrame(VOTE_FILE)?.let { decode<VoteState>(it, VOTE_FILE, offset = 0) }
            val snapshot = readFrame(SNAPSHOT_FILE)?.let { decode<StoredSnapshot>(it, SNAPSHOT_FILE, offset = 0) }
            val records = openLog()
            when {
                vote == null && (snapshot != null || records.isNotEmpty()) -> throw CorruptionException(VOTE_FILE, 0, "the file is missing")
                vote != null && vote.member != member -> refuse(StorageError.OtherMember(path, vote.member))
                else -> StorageOpenResult.Opened(StoredState(vote, snapshot, reconcileLog(snapshot, records)))
            }
        } catch (e: CorruptionException) {
            refuse(StorageError.Corrupt("$path/${e.file}", e.offset, e.reason))
        }

    private fun readFrame(name: String): ByteArray? {
        if (!folder.exists(name)) return null
        val bodies = ArrayList<ByteArray>()
        val scan = folder.open(name).use { file -> Frames.scan(file) { body, _ -> bodies += body } }
        return bodies.singleOrNull() ?: throw CorruptionException(name, scan.endOffset, "the file must hold exactly one valid frame")
    }

    /** Opens the log, removes a torn write at its end, and returns its records, all of them durable. */
    private fun openLog(): List<LogRecord> {
        val isNew = !folder.exists(LOG_FILE)
        val file = folder.open(LOG_FILE)
        logFile = file
        if (isNew) folder.syncNames()
        val records = ArrayList<LogRecord>()
        val scan = Frames.scan(file) { body, offset -> addFrame(records, decode(body, LOG_FILE, offset), offset) }
        scan.corruptOffset?.let { throw CorruptionException(LOG_FILE, it, "bad checksum before the last frame") }
        if (file.size > scan.endOffset) file.truncate(scan.endOffset)
        file.sync()
        return records
    }

    private inline fun <reified T> decode(
        body: ByteArray,
        file: String,
        offset: Long,
    ): T =
        try {
            WireJson.decodeFromString(body.decodeToString())
        } catch (e: SerializationException) {
            throw CorruptionException(file, offset, "the frame does not decode: $e")
        }

    /** Adds the records of [frame] to [records]. Each replaces all earlier records from its index on. */
    private fun addFrame(
        records: ArrayList<LogRecord>,
        frame: List<LogRecord>,
        offset: Long,
    ) {
        for (record in frame) {
            while (records.isNotEmpty() && records.last().index >= record.index) records.removeLast()
            val expected = records.lastOrNull()?.let { it.index + 1 } ?: record.index
            if (record.index != expected) throw CorruptionException(LOG_FILE, offset, "record ${record.index} where $expected was expected")
            records += record
        }
    }

    /**
     * Returns the records of the log after [snapshot], and empties the log if there are none: the next record must not follow others.
     *
     * A crash after the snapshot was replaced, but before the log was, leaves records in the log that the snapshot covers or contradicts. If the log
     * agrees with the snapshot and goes on after it, the next record follows the last one of the log.
     */
    private fun reconcileLog(
        snapshot: StoredSnapshot?,
        records: List<LogRecord>,
    ): List<LogRecord> {
        val following = recordsAfter(snapshot, records)
        if (following.isEmpty() && records.isNotEmpty()) {
            logFile?.truncate(0)
            logFile?.sync()
        }
        return following
    }

    private fun recordsAfter(
        snapshot: StoredSnapshot?,
        records: List<LogRecord>,
    ): List<LogRecord> {
        val snapshotIndex = snapshot?.index ?: 0L
        val first = records.firstOrNull() ?: return emptyList()
        if (first.index > snapshotIndex + 1) throw CorruptionException(LOG_FILE, 0, "record ${first.index} does not follow $snapshotIndex")
        if (first.index == snapshotIndex + 1) return records
        val last = records.find { it.index == snapshotIndex }
        return if (last?.term == snapshot?.term) records.filter { it.index > snapshotIndex } else emptyList()
    }

    /** Joins consecutive appends, so that they share one sync, and keeps only the last one of consecutive votes. */
    private fun mergeWrites(writes: List<StorageWrite>): List<StorageWrite> {
        val merged = ArrayList<StorageWrite>()
        for (write in writes) {
            val last = merged.lastOrNull()
            when {
                write is StorageWrite.Append && last is StorageWrite.Append -> {
                    merged[merged.size - 1] = StorageWrite.Append(last.records + write.records)
                }

                write is StorageWrite.Vote && last is StorageWrite.Vote -> {
                    merged[merged.size - 1] = write
                }

                else -> {
                    merged += write
                }
            }
        }
        return merged
    }

    private fun persist(write: StorageWrite) {
        when (write) {
            is StorageWrite.Vote -> {
                replace(VOTE_FILE, encodeFrame(WireJson.encodeToString(write.state)))
            }

            is StorageWrite.Append -> {
                append(write.records)
            }

            is StorageWrite.Snapshot -> {
                replace(SNAPSHOT_FILE, encodeFrame(WireJson.encodeToString(write.snapshot)))
                replaceLog(write.remaining)
            }
        }
    }

    private fun append(records: List<LogRecord>) {
        val file = checkNotNull(logFile) { "the storage is not open" }
        val startedNanos = System.nanoTime()
        file.append(encodeFrame(WireJson.encodeToString(records)))
        file.sync()
        onSync(System.nanoTime() - startedNanos)
    }

    private fun replaceLog(records: List<LogRecord>) {
        logFile?.close()
        replace(LOG_FILE, if (records.isEmpty()) ByteBuffer.allocate(0) else encodeFrame(WireJson.encodeToString(records)))
        logFile = folder.open(LOG_FILE)
    }

    /** Atomically replaces the file [name] by one with [content]. */
    private fun replace(
        name: String,
        content: ByteBuffer,
    ) {
        val temporaryName = "$name.tmp"
        folder.open(temporaryName).use { file ->
            file.truncate(0)
            file.append(content)
            file.sync()
        }
        folder.rename(temporaryName, name)
        folder.syncNames()
    }

    private fun encodeFrame(text: String) = Frames.encode(text.encodeToByteArray())

    private class CorruptionException(
        val file: String,
        val offset: Long,
        val reason: String,
    ) : Exception(reason)

    private companion object {
        const val VOTE_FILE = "vote"
        const val SNAPSHOT_FILE = "snapshot"
        const val LOG_FILE = "log"
    }
}
