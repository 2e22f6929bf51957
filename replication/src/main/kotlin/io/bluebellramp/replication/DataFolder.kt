package io.bluebellramp.replication

import java.nio.ByteBuffer

/**
 * The folder that holds the files of a [LogStorage], as the operations whose order decides what a crash leaves behind. Names of files are
 * those within the folder. Not thread-safe.
 *
 * Content is durable after [DataFile.sync], and created, renamed and removed names are durable after [syncNames]. Until then a loss of power
 * may keep or lose each of them independently. All functions throw [java.io.IOException] if the file system fails.
 */
internal interface DataFolder : AutoCloseable {
    /** Creates the folder if it is missing, and locks it. Returns false if another process has locked it. */
    fun lock(): Boolean

    fun exists(name: String): Boolean

    /** Opens the file [name] and creates it if it is missing. */
    fun open(name: String): DataFile

    /** Renames [from] to [to] atomically and replaces an existing file [to]. */
    fun rename(
        from: String,
        to: String,
    )

    fun syncNames()
}

/** An open file of a [DataFolder]. */
internal interface DataFile : AutoCloseable {
    /** Size in bytes. */
    val size: Long

    /** Reads up to the remaining bytes of [target] from [offset] on, fewer only at the end of the file. */
    fun read(
        offset: Long,
        target: ByteBuffer,
    )

    /** Writes all remaining bytes of [content] at the end of the file. */
    fun append(content: ByteBuffer)

    /** Removes everything from [size] (bytes) on. */
    fun truncate(size: Long)

    fun sync()
}
