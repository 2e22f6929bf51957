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
 * Keeps the state of a member in [folder]: `vote`, `snapshot` and `log`, and `lock` against a second process.
 *
 * @property onSync is told how long each write of records with its sync took (ns)
 */
internal class FileLogStorage(
    private val folder: Path,
    private val onSync: (Long) -> Unit = {},
) : LogStorage {
    private val files = SyncedFiles(folder)
    private val logFile = folder.resolve(LOG)
    private var lockChannel: FileChannel? = null
    private var log: FileChannel? = null
    private var failure: StorageError? = null

    override fun open(member: MemberId): StorageOpening =
        try {
            if (!Files.exists(folder)) createFolder()
            if (takeLock()) read(member) else refuse(StorageError.Locked(folder.toString()))
        } catch (e: IOException) {
            refuse(StorageError.Failed("cannot open data folder $folder: $e"))
        }

    override fun persist(writes: List<StorageWrite>): StorageError? {
        failure?.let { return it }
        try {
            for (write in merge(writes)) persist(write)
        } catch (e: IOException) {
            failure = StorageError.Failed("cannot write to data folder $folder: $e")
        }
        return failure
    }

    override fun close() {
        log?.close()
        lockChannel?.close()
    }

    private fun createFolder() {
        Files.createDirectories(folder)
        folder.toAbsolutePath().parent?.let { SyncedFiles(it).syncFolder() }
    }

    private fun takeLock(): Boolean {
        val channel = FileChannel.open(folder.resolve(LOCK), CREATE, WRITE)
        lockChannel = channel
        return try {
            channel.tryLock() != null
        } catch (_: OverlappingFileLockException) {
            false
        }
    }

    private fun refuse(error: StorageError): StorageOpening {
        close()
        return StorageOpening.Refused(error)
    }

    private fun read(member: MemberId): StorageOpening =
        try {
            val vote = readFile(VOTE)?.let { WireJson.decodeFromString<VoteState>(it) }
            val snapshot = readFile(SNAPSHOT)?.let { WireJson.decodeFromString<StoredSnapshot>(it) }
            val records = readLog(snapshot)
            when {
                vote == null && (snapshot != null || records.isNotEmpty()) -> throw Damage(VOTE, 0, "the file is missing")
                vote != null && vote.member != member -> refuse(StorageError.OtherMember(folder.toString(), vote.member))
                else -> StorageOpening.Opened(StoredState(vote, snapshot, records))
            }
        } catch (e: Damage) {
            refuse(StorageError.Corrupt(folder.resolve(e.file).toString(), e.offset, e.reason))
        }

    private fun readFile(name: String): String? {
        val file = folder.resolve(name)
        if (!Files.exists(file)) return null
        val scan = Frames.scan(Files.readAllBytes(file))
        return scan.bodies.singleOrNull()?.decodeToString() ?: throw Damage(name, scan.end.toLong(), "no whole frame")
    }

    private fun readLog(snapshot: StoredSnapshot?): List<LogRecord> {
        val content = if (Files.exists(logFile)) Files.readAllBytes(logFile) else ByteArray(0)
        val scan = Frames.scan(content)
        scan.corruptAt?.let { throw Damage(LOG, it.toLong(), "bad checksum before the last frame") }
        openLog(scan.end.toLong())
        var offset = 0L
        val records = ArrayList<LogRecord>()
        for (body in scan.bodies) {
            replay(records, decode(body, offset), offset)
            offset += Frames.HEAD + body.size
        }
        return after(snapshot, records)
    }

    private fun openLog(end: Long) {
        val isNew = !Files.exists(logFile)
        val channel = FileChannel.open(logFile, CREATE, READ, WRITE)
        log = channel
        if (channel.size() > end) {
            channel.truncate(end)
            channel.force(true)
        }
        channel.position(end)
        if (isNew) files.syncFolder()
    }

    private fun decode(
        body: ByteArray,
        offset: Long,
    ): List<LogRecord> =
        try {
            WireJson.decodeFromString(body.decodeToString())
        } catch (e: SerializationException) {
            throw Damage(LOG, offset, "the frame holds no records: $e")
        }

    /** Adds [frame] to [records]; its first record replaces all from that index on. */
    private fun replay(
        records: ArrayList<LogRecord>,
        frame: List<LogRecord>,
        offset: Long,
    ) {
        for (record in frame) {
            while (records.isNotEmpty() && records.last().index >= record.index) records.removeLast()
            val expected = records.lastOrNull()?.let { it.index + 1 } ?: record.index
            if (record.index != expected) throw Damage(LOG, offset, "record ${record.index} where $expected was expected")
            records += record
        }
    }

    /** A crash between the replacement of the snapshot and of the log leaves records that [snapshot] covers or contradicts. */
    private fun after(
        snapshot: StoredSnapshot?,
        records: List<LogRecord>,
    ): List<LogRecord> {
        val covered = snapshot?.index ?: 0L
        val first = records.firstOrNull() ?: return emptyList()
        if (first.index > covered + 1) throw Damage(LOG, 0, "record ${first.index} does not follow $covered")
        if (first.index == covered + 1) return records
        val last = records.find { it.index == covered }
        return if (last?.term == snapshot?.term) records.filter { it.index > covered } else emptyList()
    }

    /** Joins appends that follow each other, so that they share one sync, and keeps only the last vote of a run. */
    private fun merge(writes: List<StorageWrite>): List<StorageWrite> {
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
            is StorageWrite.Vote -> files.replace(VOTE, frame(WireJson.encodeToString(write.state)))
            is StorageWrite.Append -> append(write.records)
            is StorageWrite.Snapshot -> replaceLog(write)
        }
    }

    private fun append(records: List<LogRecord>) {
        val channel = checkNotNull(log) { "the storage is not open" }
        val begin = System.nanoTime()
        SyncedFiles.writeAll(channel, frame(WireJson.encodeToString(records)))
        channel.force(false)
        onSync(System.nanoTime() - begin)
    }

    private fun replaceLog(write: StorageWrite.Snapshot) {
        files.replace(SNAPSHOT, frame(WireJson.encodeToString(write.snapshot)))
        log?.close()
        val content = if (write.remaining.isEmpty()) ByteBuffer.allocate(0) else frame(WireJson.encodeToString(write.remaining))
        files.replace(LOG, content)
        openLog(Files.size(logFile))
    }

    private fun frame(text: String) = Frames.encode(text.encodeToByteArray())

    private class Damage(
        val file: String,
        val offset: Long,
        val reason: String,
    ) : Exception(reason)

    private companion object {
        const val VOTE = "vote"
        const val SNAPSHOT = "snapshot"
        const val LOG = "log"
        const val LOCK = "lock"
    }
}
