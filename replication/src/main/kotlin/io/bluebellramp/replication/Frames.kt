package io.bluebellramp.replication

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** Encodes and decodes the frames of the stored files. A frame is a magic number, the length and the CRC32C of the body, and the body. */
internal object Frames {
    const val HEADER_BYTES = 12
    private const val MAGIC = 0x42424C31
    private const val MAX_BODY_BYTES = 256 * 1024 * 1024
    private const val SEARCH_BYTES = 65_536

    /**
     * What a file holds beside the bodies of its frames.
     *
     * @property endOffset offset after the last frame
     * @property corruptOffset offset of a corrupt frame that valid frames follow, or null if there is none
     */
    class ScanResult(
        val endOffset: Long,
        val corruptOffset: Long?,
    )

    fun encode(body: ByteArray): ByteBuffer {
        val frame = ByteBuffer.allocate(HEADER_BYTES + body.size)
        frame.putInt(MAGIC)
        frame.putInt(body.size)
        frame.putInt(checksum(body))
        frame.put(body)
        return frame.flip()
    }

    /**
     * Passes the body of each frame of [file] and the offset of the frame to [onBody], up to the first invalid frame. Holds one body at a time.
     *
     * An invalid frame at the end is a torn write that was never acknowledged. If a valid frame follows it, the file is corrupt.
     */
    fun scan(
        file: DataFile,
        onBody: (ByteArray, Long) -> Unit,
    ): ScanResult {
        var offset = 0L
        while (true) {
            val body = bodyAt(file, offset) ?: break
            onBody(body, offset)
            offset += HEADER_BYTES + body.size
        }
        return ScanResult(offset, if (hasFrameAfter(file, offset)) offset else null)
    }

    private fun hasFrameAfter(
        file: DataFile,
        offset: Long,
    ): Boolean {
        var from = offset + 1
        while (from + HEADER_BYTES <= file.size) {
            val window = read(file, from, minOf(SEARCH_BYTES.toLong(), file.size - from).toInt())
            val last = window.limit() - HEADER_BYTES
            if ((0..last).any { window.getInt(it) == MAGIC && bodyAt(file, from + it) != null }) return true
            from += last + 1
        }
        return false
    }

    private fun bodyAt(
        file: DataFile,
        offset: Long,
    ): ByteArray? {
        if (offset + HEADER_BYTES > file.size) return null
        val header = read(file, offset, HEADER_BYTES)
        if (header.int != MAGIC) return null
        val length = header.int
        if (length !in 0..MAX_BODY_BYTES || length > file.size - offset - HEADER_BYTES) return null
        val crc = header.int
        val body = read(file, offset + HEADER_BYTES, length).array()
        return body.takeIf { checksum(it) == crc }
    }

    private fun read(
        file: DataFile,
        offset: Long,
        length: Int,
    ): ByteBuffer = ByteBuffer.allocate(length).also { file.read(offset, it) }.flip()

    private fun checksum(body: ByteArray): Int {
        val crc = CRC32C()
        crc.update(body)
        return crc.value.toInt()
    }
}
