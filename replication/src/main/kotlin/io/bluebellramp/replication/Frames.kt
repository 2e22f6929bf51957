package io.bluebellramp.replication

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** The frames of a log file: a mark, the length and the CRC32C of the body, and the body. */
internal object Frames {
    /** Length of the head of a frame (bytes). */
    const val HEAD = 12
    private const val MARK = 0x42424C31
    private const val LONGEST_BODY = 256 * 1024 * 1024

    /** What reading the frames of a file gave. [end] is the first byte after the last whole frame. */
    class Scan(
        val bodies: List<ByteArray>,
        val end: Int,
        val corruptAt: Int?,
    )

    fun encode(body: ByteArray): ByteBuffer {
        val frame = ByteBuffer.allocate(HEAD + body.size)
        frame.putInt(MARK)
        frame.putInt(body.size)
        frame.putInt(checksum(body))
        frame.put(body)
        return frame.flip()
    }

    /**
     * Reads all frames of [file]. A bad frame with no whole frame after it is the torn tail of a write that was never acknowledged;
     * one with a whole frame after it is corruption.
     */
    fun scan(file: ByteArray): Scan {
        val bodies = ArrayList<ByteArray>()
        var offset = 0
        while (true) {
            val body = bodyAt(file, offset) ?: break
            bodies += body
            offset += HEAD + body.size
        }
        val hasLater = offset < file.size && (offset + 1..file.size - HEAD).any { bodyAt(file, it) != null }
        return Scan(bodies, offset, if (hasLater) offset else null)
    }

    private fun bodyAt(
        file: ByteArray,
        offset: Int,
    ): ByteArray? {
        if (offset + HEAD > file.size) return null
        val head = ByteBuffer.wrap(file, offset, HEAD)
        if (head.int != MARK) return null
        val length = head.int
        if (length !in 0..LONGEST_BODY || length > file.size - offset - HEAD) return null
        val crc = head.int
        val body = file.copyOfRange(offset + HEAD, offset + HEAD + length)
        return body.takeIf { checksum(it) == crc }
    }

    private fun checksum(body: ByteArray): Int {
        val crc = CRC32C()
        crc.update(body)
        return crc.value.toInt()
    }
}
