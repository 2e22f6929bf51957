package io.bluebellramp.jobs

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.core.ZoneId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class CallerRebalancerTest {
    private val zone = ZoneId("a")
    private val self = EntryLife(IncarnationId("self"), zone)
    private val neighbour = EntryLife(IncarnationId("neighbour"), zone)
    private val restarted = EntryLife(IncarnationId("restarted"), zone)
    private val rebalancer = CallerRebalancer(self)

    @Nested
    inner class `An entry that was away` {
        private val backAt = 20.seconds

        init {
            rebalancer.update(listOf(self, neighbour), 0.seconds)
            rebalancer.update(listOf(self), 10.seconds)
            rebalancer.update(listOf(self, restarted), backAt)
        }

        @Test
        fun `is found by the load balancer before any caller is sent there`() {
            assertTrue(rebalancer.keeps(openedAt = 12.seconds, draw = 0.5, now = backAt + CallerRebalancer.SETTLING_TIME - 1.milliseconds))
        }

        @Test
        fun `gets its callers back although each of them stays connected`() {
            assertFalse(
                rebalancer.keeps(
                    openedAt = 12.seconds,
                    draw = 0.5,
                    now =
                        backAt + CallerRebalancer.SETTLING_TIME + CallerRebalancer.SPREAD,
                ),
            )
        }

        @Test
        fun `leaves callers alone that have connected since`() {
            val settledAt = backAt + CallerRebalancer.SETTLING_TIME
            assertTrue(rebalancer.keeps(openedAt = settledAt, draw = 0.5, now = settledAt + 1.seconds * 30))
        }

        @Test
        fun `gets its callers one after another`() {
            val settledAt = backAt + CallerRebalancer.SETTLING_TIME
            val closedAfter =
                List(CALLERS) { caller ->
                    replies().first { !rebalancer.keeps(openedAt = 12.seconds, draw = caller.toDouble() / CALLERS, now = settledAt + it) }
                }
            val busiest =
                closedAfter
                    .groupingBy { it.inWholeMilliseconds / 500 }
                    .eachCount()
                    .values
                    .max()
            assertTrue(busiest < CALLERS / 2, "$busiest of $CALLERS callers return within 500 ms")
        }

        /** The times of the replies on one connection. */
        private fun replies() = generateSequence(Duration.ZERO) { it + 100.milliseconds }
    }

    @Test
    fun `entries that start together keep their callers`() {
        rebalancer.update(listOf(self), 0.seconds)
        rebalancer.update(listOf(self, neighbour), 2.seconds)
        assertTrue(rebalancer.keeps(openedAt = 1.seconds, draw = 0.5, now = 30.seconds))
    }

    @Test
    fun `an entry of another zone takes no callers`() {
        rebalancer.update(listOf(self), 0.seconds)
        val joined = rebalancer.update(listOf(self, restarted.copy(zone = ZoneId("b"))), 20.seconds)
        assertEquals(emptyList(), joined)
        assertTrue(rebalancer.keeps(openedAt = 1.seconds, draw = 0.5, now = 60.seconds))
    }

    @Test
    fun `a control that forgets the entries for a moment moves no callers`() {
        rebalancer.update(listOf(self, neighbour), 0.seconds)
        rebalancer.update(emptyList(), 100.seconds)
        assertEquals(emptyList(), rebalancer.update(listOf(self, neighbour), 105.seconds))
    }

    private companion object {
        const val CALLERS = 20
    }
}
