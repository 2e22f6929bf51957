package io.bluebellramp.agent

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs what is due in the order of time, then of arrival, and moves [clock] along. */
internal class EventLoop(
    private val clock: ManualClock,
) {
    private class Event(
        val at: Duration,
        val order: Long,
        val run: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.order })
    private var order = 0L

    fun at(
        time: Duration,
        run: () -> Unit,
    ) {
        events.add(Event(time, order++, run))
    }

    fun every(
        period: Duration,
        run: () -> Unit,
    ): Unit =
        at(clock.now + period) {
            run()
            every(period, run)
        }

    fun runUntil(time: Duration) {
        while (events.peek().at < time) {
            val event = events.remove()
            clock.now = maxOf(clock.now, event.at)
            event.run()
        }
        clock.now = maxOf(clock.now, time)
    }
}
