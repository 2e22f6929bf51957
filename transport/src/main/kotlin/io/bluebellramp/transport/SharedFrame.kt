package io.bluebellramp.transport

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/**
 * A frame that is encoded once for all links on which it is sent, so that a large one takes its memory once and not for each link. Confined to the
 * event loop.
 */
class SharedFrame(
    text: String,
) {
    // The socket would copy a buffer on the heap for each link.
    internal val buffer: ByteBuf =
        text.encodeToByteArray().let { body ->
            Unpooled.directBuffer(FrameFormat.HEADER_BYTES + body.size).also { FrameFormat.write(body, it) }
        }

    /** Frees the memory once the links have sent the frame. It must not be sent again. */
    fun release() {
        buffer.release()
    }
}
