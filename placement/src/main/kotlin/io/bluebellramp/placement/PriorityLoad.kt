package io.bluebellramp.placement

import kotlin.math.pow
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Work admitted lately, by the priority of its queue. Does no I/O and is not thread-safe. */
class PriorityLoad {
    private class DecayingSum {
        private var cpuMicros = 0.0
        private var updatedAt = Duration.ZERO

        fun at(now: Duration) = cpuMicros * 0.5.pow((now - updatedAt) / HALF_LIFE)

        fun add(
            cpuMicros: Long,
            now: Duration,
        ) {
            this.cpuMicros = at(now) + cpuMicros
            updatedAt = now
        }
    }

    private val sums = HashMap<Int, DecayingSum>()

    /** Records that a job of [priority] with [cpuMicros] of work (core-microseconds) was admitted. */
    fun add(
        priority: Int,
        cpuMicros: Long,
        now: Duration,
    ) = sums.getOrPut(priority) { DecayingSum() }.add(cpuMicros, now)

    /** Returns the share of the recent work that is more urgent than [priority], from 0 to 1. */
    fun moreUrgentShare(
        priority: Int,
        now: Duration,
    ): Double {
        val total = sums.values.sumOf { it.at(now) }
        if (total < NEGLIGIBLE_CPU_MICROS) return 0.0
        return sums.entries.sumOf { (other, sum) -> if (other < priority) sum.at(now) else 0.0 } / total
    }

    /** Returns whether jobs of several priorities were admitted lately. */
    fun hasSeveralPriorities(now: Duration): Boolean = sums.values.count { it.at(now) >= NEGLIGIBLE_CPU_MICROS } > 1

    private companion object {
        /** Long compared with the time between two jobs of an entry, short compared with a burst. */
        val HALF_LIFE = 1.seconds

        /** Less than any job takes (core-microseconds). */
        const val NEGLIGIBLE_CPU_MICROS = 1_000.0
    }
}
