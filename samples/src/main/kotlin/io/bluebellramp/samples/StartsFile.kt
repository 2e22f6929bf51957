package io.bluebellramp.samples

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TargetCall
import java.nio.ByteBuffer
import java.nio.channels.FileChannel
import java.nio.file.Path
import java.nio.file.StandardOpenOption.APPEND
import java.nio.file.StandardOpenOption.CREATE
import java.nio.file.StandardOpenOption.WRITE

/**
 * A file with one line per start of a task or request: submission, task, attempt, kind and time (ms since the epoch).
 *
 * Tests count the starts of a task with it. Each line is passed to the operating system in one write.
 */
internal class StartsFile(
    path: Path,
    private val clock: Clock,
) : AutoCloseable {
    private val channel = FileChannel.open(path, CREATE, WRITE, APPEND)

    /** Appends the line of [call]. Other processes can read it once this returns. */
    fun append(call: TargetCall) {
        val kind = if (call.kind == DispatchKind.TASK) "task" else "request"
        val line = "${call.submission} ${call.task} ${call.attempt} $kind ${clock.wall().toEpochMilli()}\n"
        val bytes = ByteBuffer.wrap(line.toByteArray())
        synchronized(this) { while (bytes.hasRemaining()) channel.write(bytes) }
    }

    override fun close() = channel.close()
}
