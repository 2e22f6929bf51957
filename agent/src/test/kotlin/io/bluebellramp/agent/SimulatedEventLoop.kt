package io.bluebellramp.agent

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs scheduled events in the order of their time, then of their scheduling, and advances [clock]. */
internal class SimulatedEventLoop(
    private val clock: ManualClock,
) {
    private class Event(
        val at: Duration,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy<Event> { it.at }.thenBy { it.sequence })
    private var sequence = 0L

    fun at(
        time: Duration,
        action: () -> Unit,
    ) {
        events.add(Event(time, sequence++, action))
    }

    fun every(
        period: Duration,
        action: () -> Unit,
    ): Unit =
        at(clock.now + period) {
            action()
            every(period, action)
        }

    fun runUntil(time: Duration) {
        while (events.peek().at < time) {
            val event = events.remove()
            clock.now = maxOf(clock.now, event.at)
            event.action()
        }
        clock.now = maxOf(clock.now, time)
    }
}
