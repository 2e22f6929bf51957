package io.bluebellramp.jobs.history

import io.bluebellramp.core.Clock
import java.time.Instant
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Virtual time: events run in the order of their times, all from one seed. */
internal class World(
    seed: Int,
) : Clock {
    private class Event(
        val at: Duration,
        val order: Long,
        val action: () -> Unit,
    )

    val random = Random(seed)
    val violations = ArrayList<String>()
    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.order })
    private var now = 1000.seconds
    private var order = 0L

    override fun monotonic(): Duration = now

    override fun wall(): Instant = Instant.EPOCH + now.toJavaDuration()

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events += Event(now + delay, order++, action)
    }

    fun every(
        period: Duration,
        isAlive: () -> Boolean,
        action: () -> Unit,
    ) {
        after(period) {
            if (!isAlive()) return@after
            action()
            every(period, isAlive, action)
        }
    }

    /** A delay of one way on a network or through a busy process. */
    fun hop(): Duration = (100 + random.nextInt(3000)).microseconds

    fun chance(share: Double) = random.nextDouble() < share

    fun violated(what: String) {
        violations += "${now - 1000.seconds}: $what"
    }

    fun runFor(time: Duration) {
        val end = now + time
        while (events.isNotEmpty() && events.peek().at <= end) {
            val next = events.poll()
            now = next.at
            next.action()
        }
        now = end
    }
}
