package io.bluebellramp.transport

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.handler.codec.TooLongFrameException
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class FrameReaderTest {
    private val reader = FrameReader()
    private val received = ArrayList<String>()

    private fun read(bytes: ByteBuf) = reader.read(UnpooledByteBufAllocator.DEFAULT, bytes) { received += it }

    private fun bytesOf(texts: List<String>): ByteBuf =
        Unpooled.buffer().also { out -> texts.forEach { FrameFormat.write(it.encodeToByteArray(), out) } }

    @Test
    fun `frames arrive whole and in order, however their bytes are cut`() {
        val texts = listOf("{}", "", "[]", "bøk", "x".repeat(70_000), "{}", "end")
        for (seed in 1..200) {
            val random = Random(seed)
            val bytes = bytesOf(texts)
            val parts = ArrayList<ByteBuf>()
            while (bytes.isReadable) {
                parts += bytes.readBytes(random.nextInt(1, if (seed % 2 == 0) 9000 else 90_000).coerceAtMost(bytes.readableBytes()))
            }
            received.clear()
            parts.forEach { read(it) }
            assertEquals(texts, received, "seed $seed")
            assertEquals(0, parts.sumOf { it.refCnt() }, "seed $seed")
        }
    }

    @Test
    fun `every cut of a short frame keeps it`() {
        val size = bytesOf(listOf("{}", "ab")).readableBytes()
        for (cut in 1 until size) {
            val bytes = bytesOf(listOf("{}", "ab"))
            received.clear()
            read(bytes.readBytes(cut))
            read(bytes.readBytes(size - cut))
            assertEquals(listOf("{}", "ab"), received, "cut at $cut")
        }
    }

    @Test
    fun `a frame that is too long fails, and nothing after it is read`() {
        for (length in listOf(-1, FrameFormat.MAX_BODY_BYTES + 1)) {
            val reader = FrameReader()
            val input = bytesOf(listOf("first")).writeInt(length)
            assertFailsWith<TooLongFrameException> { reader.read(UnpooledByteBufAllocator.DEFAULT, input) { received += it } }
            reader.read(UnpooledByteBufAllocator.DEFAULT, bytesOf(listOf("late"))) { received += it }
            assertEquals(0, input.refCnt())
        }
        assertEquals(listOf("first", "first"), received)
    }
}
