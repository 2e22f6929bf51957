package io.bluebellramp.jobs.history

import io.bluebellramp.core.Clock
import java.time.Instant
import java.util.PriorityQueue
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** A deterministic simulation in virtual time: runs events in the order of their times and draws all random numbers from one seed. */
internal class Simulation(
    seed: Int,
) : Clock {
    private class Event(
        val at: Duration,
        val sequence: Long,
        val action: () -> Unit,
    )

    val random = Random(seed)
    val violations = ArrayList<String>()
    private val events = PriorityQueue(compareBy<Event> { it.at }.thenBy { it.sequence })
    private var now = 1000.seconds
    private var nextSequence = 0L

    override fun monotonic(): Duration = now

    override fun wall(): Instant = Instant.EPOCH + now.toJavaDuration()

    fun after(
        delay: Duration,
        action: () -> Unit,
    ) {
        events += Event(now + delay, nextSequence++, action)
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

    /** Returns a random delay of a message through the network and a busy process. */
    fun messageDelay(): Duration = (100 + random.nextInt(3000)).microseconds

    fun chance(share: Double) = random.nextDouble() < share

    fun recordViolation(description: String) {
        violations += "${now - 1000.seconds}: $description"
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
