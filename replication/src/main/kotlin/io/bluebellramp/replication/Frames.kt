package io.bluebellramp.replication

import java.nio.ByteBuffer
import java.util.zip.CRC32C

/** Encodes and decodes the frames of the stored files. A frame is a magic number, the length and the CRC32C of the body, and the body. */
internal object Frames {
    const val HEADER_BYTES = 12
    private const val MAGIC = 0x42424C31
    private const val MAX_BODY_BYTES = 256 * 1024 * 1024

    /**
     * The frames of a file.
     *
     * @property endOffset offset after the last frame of [bodies]
     * @property corruptOffset offset of a corrupt frame that valid frames follow, or null if there is none
     */
    class ScanResult(
        val bodies: List<ByteArray>,
        val endOffset: Int,
        val corruptOffset: Int?,
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
     * Reads the frames of [file] up to the first invalid one. An invalid frame at the end is a torn write that was never acknowledged.
     * If a valid frame follows it, the file is corrupt.
     */
    fun scan(file: ByteArray): ScanResult {
        val bodies = ArrayList<ByteArray>()
        var offset = 0
        while (true) {
            val body = bodyAt(file, offset) ?: break
            bodies += body
            offset += HEADER_BYTES + body.size
        }
        val hasLaterFrame = offset < file.size && (offset + 1..file.size - HEADER_BYTES).any { bodyAt(file, it) != null }
        return ScanResult(bodies, offset, if (hasLaterFrame) offset else null)
    }

    private fun bodyAt(
        file: ByteArray,
        offset: Int,
    ): ByteArray? {
        if (offset + HEADER_BYTES > file.size) return null
        val header = ByteBuffer.wrap(file, offset, HEADER_BYTES)
        if (header.int != MAGIC) return null
        val length = header.int
        if (length !in 0..MAX_BODY_BYTES || length > file.size - offset - HEADER_BYTES) return null
        val crc = header.int
        val body = file.copyOfRange(offset + HEADER_BYTES, offset + HEADER_BYTES + length)
        return body.takeIf { checksum(it) == crc }
    }

    private fun checksum(body: ByteArray): Int {
        val crc = CRC32C()
        crc.update(body)
        return crc.value.toInt()
    }
}
