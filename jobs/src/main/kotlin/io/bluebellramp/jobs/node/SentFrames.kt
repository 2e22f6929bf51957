package io.bluebellramp.jobs.node

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Remembers when the latest frames were sent on one connection, to tell from the peer's count of received frames when it last heard from here. */
internal class SentFrames {
    private class Mark(
        val number: Long,
        val sentAt: Duration,
    )

    private val marks = ArrayDeque<Mark>()
    private var count = 0L

    /** Records that the next frame is sent at [now]. Frames that follow a remembered one closely are not remembered. */
    fun sent(now: Duration) {
        count++
        val last = marks.lastOrNull()
        if (last != null && now - last.sentAt < MARK_PERIOD) return
        if (marks.size == MAX_MARKS) marks.removeFirst()
        marks += Mark(count, now)
    }

    /**
     * Processes the peer's count of [received] frames. Returns the send time of the latest remembered frame among those that were not counted
     * before, or null if there is none. A count of more frames than were sent is ignored.
     */
    fun received(received: Long): Duration? {
        if (received > count) return null
        var latest: Duration? = null
        while (marks.isNotEmpty() && marks.first().number <= received) latest = marks.removeFirst().sentAt
        return latest
    }

    private companion object {
        /** Short compared with the period of the peer's counts. */
        val MARK_PERIOD = 20.milliseconds

        /** Enough for the lifetime of a link whose peer is silent. */
        const val MAX_MARKS = 64
    }
}
