package io.bluebellramp.jobs.node

import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration.Companion.milliseconds

class SentFramesTest {
    private val frames = SentFrames()

    @Test
    fun `a count is answered with the send time of the latest remembered frame that it covers`() {
        listOf(0, 100, 200).forEach { frames.sent(it.milliseconds) }
        assertEquals(100.milliseconds, frames.received(2))
        assertEquals(200.milliseconds, frames.received(3))
    }

    @Test
    fun `a count that covers no new frame tells nothing`() {
        frames.sent(0.milliseconds)
        assertEquals(0.milliseconds, frames.received(1))
        assertEquals(null, frames.received(1))
        assertEquals(null, frames.received(0))
    }

    @Test
    fun `frames in quick succession count as sent with the first of them`() {
        listOf(0, 5, 10, 100).forEach { frames.sent(it.milliseconds) }
        assertEquals(0.milliseconds, frames.received(3))
        assertEquals(100.milliseconds, frames.received(4))
    }

    @Test
    fun `a count of more frames than were sent is ignored`() {
        frames.sent(0.milliseconds)
        assertEquals(null, frames.received(2))
        assertEquals(null, frames.received(Long.MAX_VALUE))
        assertEquals(0.milliseconds, frames.received(1))
    }

    @Test
    fun `a peer that never counts costs no memory`() {
        repeat(10_000) { frames.sent((it * 50).milliseconds) }
        assertEquals(499_950.milliseconds, frames.received(10_000))
        assertEquals(null, frames.received(10_000))
    }
}
