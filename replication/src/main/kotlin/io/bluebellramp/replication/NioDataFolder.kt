package io.bluebellramp.replication

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.channels.OverlappingFileLockException
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.WRITE

/** A [DataFolder] at [path]. A file lock on its file `lock` keeps other processes out. */
internal class NioDataFolder(
    private val path: Path,
) : DataFolder {
    private var lockChannel: FileChannel? = null

    override fun lock(): Boolean {
        if (!Files.exists(path)) {
            Files.createDirectories(path)
            path.toAbsolutePath().parent?.let(::syncFolder)
        }
        val channel = FileChannel.open(path.resolve(LOCK_FILE), CREATE, WRITE)
        lockChannel = channel
        return try {
            channel.tryLock() != null
        } catch (_: OverlappingFileLockException) {
            false
        }
    }

    override fun exists(name: String): Boolean = Files.exists(path.resolve(name))

    override fun open(name: String): DataFile = NioDataFile(FileChannel.open(path.resolve(name), CREATE, READ, WRITE))

    override fun rename(
        from: String,
        to: String,
    ) {
        Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
    }

    override fun syncNames() = syncFolder(path)

    override fun close() {
        lockChannel?.close()
    }

    private fun syncFolder(folder: Path) = FileChannel.open(folder, READ).use { it.force(true) }

    private companion object {
        const val LOCK_FILE = "lock"
    }
}

private class NioDataFile(
    private val channel: FileChannel,
) : DataFile {
    /** False while only content was appended, whose new size is synced with it. */
    private var syncsMetadata = true

    override val size: Long get() = channel.size()

    override fun read(
        offset: Long,
        target: ByteBuffer,
    ) {
        var position = offset
        while (target.hasRemaining()) {
            val count = channel.read(target, position)
            if (count < 0) return
            position += count
        }
    }

    override fun append(content: ByteBuffer) {
        channel.position(channel.size())
        while (content.hasRemaining()) channel.write(content)
    }

    override fun truncate(size: Long) {
        channel.truncate(size)
        syncsMetadata = true
    }

    override fun sync() {
        channel.force(syncsMetadata)
        syncsMetadata = false
    }

    override fun close() = channel.close()
}
