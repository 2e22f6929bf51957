package io.bluebellramp.transport

import io.netty.buffer.ByteBuf
import io.netty.buffer.ByteBufAllocator
import io.netty.handler.codec.TooLongFrameException

/** The form of a frame on a connection: the length of its text as 4 bytes, then the text in UTF-8. */
internal object FrameFormat {
    const val HEADER_BYTES = 4

    /** Holds a catalog of several thousand queues. */
    const val MAX_BODY_BYTES = 16 * 1024 * 1024

    fun write(
        body: ByteArray,
        out: ByteBuf,
    ) {
        out.writeInt(body.size).writeBytes(body)
    }
}

/**
 * Splits the bytes of a connection into frames.
 *
 * Netty's decoder for frames passes each of them through several handlers with objects of their own, which on a slow core costs more than what
 * is done with a heartbeat.
 */
internal class FrameReader {
    /** The start of a frame that is not yet complete. */
    private var partial: ByteBuf? = null
    private var isBroken = false

    /** True while the bytes being read are those that were kept, with the input appended. */
    private var isJoined = false

    /**
     * Passes the texts of the frames that [input] completes to [onFrame], in order. Takes over [input]. [onFrame] must not throw.
     *
     * @throws TooLongFrameException if the peer announces a frame that is too long. What follows is ignored, since its frames are unknown.
     */
    fun read(
        allocator: ByteBufAllocator,
        input: ByteBuf,
        onFrame: (String) -> Unit,
    ) {
        val bytes = join(input)
        try {
            while (!isBroken && bytes.readableBytes() >= FrameFormat.HEADER_BYTES) {
                val length = bytes.getInt(bytes.readerIndex())
                if (length !in 0..FrameFormat.MAX_BODY_BYTES) {
                    isBroken = true
                    throw TooLongFrameException("a frame of $length bytes was announced")
                }
                if (bytes.readableBytes() - FrameFormat.HEADER_BYTES < length) break
                bytes.skipBytes(FrameFormat.HEADER_BYTES)
                onFrame(bytes.readText(length))
            }
            if (!isBroken && bytes.isReadable) keep(bytes, allocator)
        } finally {
            if (bytes !== partial) bytes.release()
        }
    }

    /** Drops a frame that is not complete. */
    fun release() {
        partial?.release()
        partial = null
    }

    private fun keep(
        bytes: ByteBuf,
        allocator: ByteBufAllocator,
    ) {
        // A long frame arrives in many parts, so what was joined already isn't copied again.
        partial = if (isJoined) bytes.discardReadBytes() else allocator.buffer(bytes.readableBytes()).writeBytes(bytes)
    }

    private fun join(input: ByteBuf): ByteBuf {
        val start = partial
        isJoined = start != null
        if (start == null) return input
        partial = null
        start.writeBytes(input)
        input.release()
        return start
    }

    private fun ByteBuf.readText(length: Int): String {
        val start = readerIndex()
        skipBytes(length)
        val isEmptyFrame = length == EMPTY_FRAME.length && getByte(start) == '{'.code.toByte() && getByte(start + 1) == '}'.code.toByte()
        return if (isEmptyFrame) EMPTY_FRAME else toString(start, length, Charsets.UTF_8)
    }
}
