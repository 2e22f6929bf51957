package io.bluebellramp.bench.trial

import java.util.PriorityQueue
import kotlin.time.Duration

/** Discrete-event scheduler. Events run in order of their virtual time, and in order of scheduling if their times are equal. */
internal class VirtualTimeScheduler {
    private class Event(
        val at: Duration,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.sequence }))
    private var sequence = 0L

    /** Virtual time of the current event. */
    var now: Duration = Duration.ZERO
        private set

    /** Schedules [action] at [at], or at the current time if that is later. */
    fun at(
        at: Duration,
        action: () -> Unit,
    ) {
        events += Event(maxOf(at, now), sequence++, action)
    }

    /** Schedules [action] after [delay]. */
    fun after(
        delay: Duration,
        action: () -> Unit,
    ) = at(now + delay, action)

    /** Runs [action] every [period] as long as [wanted] returns true. */
    fun every(
        period: Duration,
        wanted: () -> Boolean,
        action: () -> Unit,
    ) {
        after(period) {
            if (!wanted()) return@after
            action()
            every(period, wanted, action)
        }
    }

    /** Runs all events up to [end], by default until none is left. */
    fun run(end: Duration = Duration.INFINITE) {
        while (true) {
            val event = events.poll()?.takeIf { it.at <= end } ?: return
            now = event.at
            event.action()
        }
    }
}
