package io.bluebellramp.bench.trial

import java.util.PriorityQueue
import kotlin.time.Duration

/** Runs events in the order of their virtual time, and in the order of their scheduling at the same time. */
internal class VirtualTime {
    private class Event(
        val at: Duration,
        val sequence: Long,
        val action: () -> Unit,
    )

    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.sequence }))
    private var sequence = 0L

    /** The time of the event that runs. */
    var now: Duration = Duration.ZERO
        private set

    /** Runs [action] at [at]. */
    fun at(
        at: Duration,
        action: () -> Unit,
    ) {
        events += Event(maxOf(at, now), sequence++, action)
    }

    /** Runs [action] after [delay]. */
    fun after(
        delay: Duration,
        action: () -> Unit,
    ) = at(now + delay, action)

    /** Runs [action] every [period] while [wanted] says so. */
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

    /** Runs all events up to [end]; without it, until none is left. */
    fun run(end: Duration = Duration.INFINITE) {
        while (true) {
            val event = events.poll()?.takeIf { it.at <= end } ?: return
            now = event.at
            event.action()
        }
    }
}
