package io.bluebellramp.replication

import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Files
import java.nio.file.Path
import java.nio.file.StandardCopyOption
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.READ
import java.nio.file.StandardOpenOption.TRUNCATE_EXISTING
import java.nio.file.StandardOpenOption.WRITE

/** Writes files of one folder and syncs them, so that they are durable when a call returns. */
internal class SyncedFiles(
    private val folder: Path,
) {
    /** Atomically replaces the file [name] by one with [content]. */
    fun replace(
        name: String,
        content: ByteBuffer,
    ) {
        val temporaryFile = folder.resolve("$name.tmp")
        FileChannel.open(temporaryFile, CREATE, WRITE, TRUNCATE_EXISTING).use {
            writeAll(it, content)
            it.force(true)
        }
        Files.move(temporaryFile, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING)
        syncFolder()
    }

    /** Syncs the folder itself, so that created and renamed files keep their names after a crash. */
    fun syncFolder() = FileChannel.open(folder, READ).use { it.force(true) }

    companion object {
        /** Writes all of [content] at the current position of [channel]. */
        fun writeAll(
            channel: FileChannel,
            content: ByteBuffer,
        ) {
            while (content.hasRemaining()) channel.write(content)
        }
    }
}
