package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.LogRecord
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.WRITE

/**
 * Stores the state of a member in the files `vote`, `snapshot` and `log` of [folder]. A file lock on `lock` keeps other processes out.
 *
 * @property onSync called after each write of records with the time that the write and its sync took (ns)
 */
internal class FileLogStorage(
    private val folder: Path,
    private val onSync: (Long) -> Unit = {},
) : LogStorage {
    private val files = SyncedFiles(folder)
    private val logFile = folder.resolve(LOG_FILE)
    private var lockChannel: FileChannel? = null
    private var logChannel: FileChannel? = null
    private var failure: StorageError? = null

    override fun open(member: MemberId): StorageOpenResult =
        try {
            if (!Files.exists(folder)) createFolder()
            if (acquireLock()) read(member) else refuse(StorageError.Locked(folder.toString()))
        } catch (e: IOException) {
            refuse(StorageError.Failed("cannot open data folder $folder: $e"))
        }

    override fun persist(writes: List<StorageWrite>): StorageError? {
        failure?.let { return it }
        try {
            for (write in mergeWrites(writes)) persist(write)
        } catch (e: IOException) {
            failure = StorageError.Failed("cannot write to data folder $folder: $e")
        }
        return failure
    }

    override fun close() {
        logChannel?.close()
        lockChannel?.close()
    }

    private fun createFolder() {
        Files.createDirectories(folder)
        folder.toAbsolutePath().parent?.let { SyncedFiles(it).syncFolder() }
    }

    private fun acquireLock(): Boolean {
        val channel = FileChannel.open(folder.resolve(LOCK_FILE), CREATE, WRITE)
        lockChannel = channel
        return try {
            channel.tryLock() != null
        } catch (_: OverlappingFileLockException) {
            false
        }
    }

    private fun refuse(error: StorageError): StorageOpenResult {
        close()
        return StorageOpenResult.Refused(error)
    }

    private fun read(member: MemberId): StorageOpenResult =
        try {
            val vote = readFrame(VOTE_FILE)?.let { WireJson.decodeFromString<VoteState>(it) }
            val snapshot = readFrame(SNAPSHOT_FILE)?.let { WireJson.decodeFromString<StoredSnapshot>(it) }
            val records = readLog(snapshot)
            when {
                vote == null && (snapshot != null || records.isNotEmpty()) -> throw CorruptionException(VOTE_FILE, 0, "the file is missing")
                vote != null && vote.member != member -> refuse(StorageError.OtherMember(folder.toString(), vote.member))
                else -> StorageOpenResult.Opened(StoredState(vote, snapshot, records))
            }
        } catch (e: CorruptionException) {
            refuse(StorageError.Corrupt(folder.resolve(e.file).toString(), e.offset, e.reason))
        }

    private fun readFrame(name: String): String? {
        val file = folder.resolve(name)
        if (!Files.exists(file)) return null
        val scan = Frames.scan(Files.readAllBytes(file))
        return scan.bodies.singleOrNull()?.decodeToString()
            ?: throw CorruptionException(name, scan.endOffset.toLong(), "the file must hold exactly one valid frame")
    }

    private fun readLog(snapshot: StoredSnapshot?): List<LogRecord> {
        val content = if (Files.exists(logFile)) Files.readAllBytes(logFile) else ByteArray(0)
        val scan = Frames.scan(content)
        scan.corruptOffset?.let { throw CorruptionException(LOG_FILE, it.toLong(), "bad checksum before the last frame") }
        openLog(scan.endOffset.toLong())
        var offset = 0L
        val records = ArrayList<LogRecord>()
        for (body in scan.bodies) {
            addFrame(records, decode(body, offset), offset)
            offset += Frames.HEADER_BYTES + body.size
        }
        return recordsAfter(snapshot, records)
    }

    private fun openLog(endOffset: Long) {
        val isNew = !Files.exists(logFile)
        val channel = FileChannel.open(logFile, CREATE, READ, WRITE)
        logChannel = channel
        if (channel.size() > endOffset) {
            channel.truncate(endOffset)
            channel.force(true)
        }
        channel.position(endOffset)
        if (isNew) files.syncFolder()
    }

    private fun decode(
        body: ByteArray,
        offset: Long,
    ): List<LogRecord> =
        try {
            WireJson.decodeFromString(body.decodeToString())
        } catch (e: SerializationException) {
            throw CorruptionException(LOG_FILE, offset, "the frame does not decode to records: $e")
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
     * Returns the records after [snapshot]. A crash after the snapshot was replaced, but before the log was, leaves records in
     * the log that the snapshot covers or contradicts.
     */
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
            is StorageWrite.Vote -> files.replace(VOTE_FILE, encodeFrame(WireJson.encodeToString(write.state)))
            is StorageWrite.Append -> append(write.records)
            is StorageWrite.Snapshot -> replaceLog(write)
        }
    }

    private fun append(records: List<LogRecord>) {
        val channel = checkNotNull(logChannel) { "the storage is not open" }
        val startedNanos = System.nanoTime()
        SyncedFiles.writeAll(channel, encodeFrame(WireJson.encodeToString(records)))
        channel.force(false)
        onSync(System.nanoTime() - startedNanos)
    }

    private fun replaceLog(write: StorageWrite.Snapshot) {
        files.replace(SNAPSHOT_FILE, encodeFrame(WireJson.encodeToString(write.snapshot)))
        logChannel?.close()
        val content = if (write.remaining.isEmpty()) ByteBuffer.allocate(0) else encodeFrame(WireJson.encodeToString(write.remaining))
        files.replace(LOG_FILE, content)
        openLog(Files.size(logFile))
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
        const val LOCK_FILE = "lock"
    }
}
