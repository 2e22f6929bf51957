package io.bluebellramp.bench

import io.bluebellramp.core.ZoneId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertContains
import kotlin.test.assertEquals
import kotlin.test.assertNull
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class ZoneWorkTest {
    private val a = ZoneId("a")
    private val b = ZoneId("b")
    private val slots = mapOf(a to 1, b to 1)

    private fun task(
        zone: ZoneId?,
        from: Duration,
        to: Duration,
        arrived: Duration = Duration.ZERO,
    ) = TaskExecution(arrived = arrived, zone = zone, started = from, end = to)

    /** Zone b goes out of service at 1.5 s and returns at 3 s. */
    private val changes = listOf(ZoneChange(b, 1500.milliseconds, inService = false), ZoneChange(b, 3.seconds, inService = true))

    @Nested
    inner class `work of each second` {
        @Test
        fun `a second is split where a zone changes`() {
            val boundaries = ZoneWork(slots, emptyList(), changes).slices(4.seconds).map { it.fromMillis }
            assertEquals(listOf(0.0, 1000.0, 1500.0, 2000.0, 3000.0), boundaries)
        }

        @Test
        fun `an idle slot counts as lost while tasks wait and not while none does`() {
            val tasks = listOf(task(a, 0.seconds, 1.seconds), task(a, 1500.milliseconds, 2.seconds, arrived = 1.seconds))
            val slices = ZoneWork(slots, tasks, emptyList()).slices(3.seconds)
            assertEquals(listOf(1.0, 0.5, 0.0), slices.map { it.doneSeconds })
            assertEquals(listOf(1.0, 1.0, 0.0), slices.map { it.allowedSeconds })
        }

        @Test
        fun `work in a zone that is out counts neither as done nor as allowed`() {
            val tasks = listOf(task(a, 0.seconds, 4.seconds), task(b, 1.seconds, 2.seconds, arrived = 1.seconds))
            val slices = ZoneWork(slots, tasks, changes).slices(4.seconds)
            assertEquals(listOf(1.0, 1.0, 0.5, 1.0, 1.0), slices.map { it.doneSeconds })
            assertEquals(slices.map { it.doneSeconds }, slices.map { it.allowedSeconds })
            assertEquals(listOf(2, 2, 1, 1, 2), slices.map { it.slots })
        }

        @Test
        fun `a task that never started waits until its job is answered`() {
            val slices = ZoneWork(slots, listOf(task(null, 1.seconds, 1.seconds)), emptyList()).slices(2.seconds)
            assertEquals(listOf(1.0, 0.0), slices.map { it.allowedSeconds })
        }
    }

    @Test
    fun `without a zone change the report gives the work of the whole run`() {
        val slices = listOf(WorkSlice(0.0, 1000.0, 2, 2.0, 2.0), WorkSlice(1000.0, 2000.0, 2, 1.0, 2.0))
        assertContains(ZoneWorkReport(emptyList(), slices).summary(), "work in all: 3.0 of 4.0 s, 75.00%")
    }

    @Nested
    inner class `a zone that goes out of service and returns` {
        @Test
        fun `its last start and its first start after the return are relative to the changes`() {
            val tasks = listOf(task(b, 1600.milliseconds, 2.seconds), task(b, 3200.milliseconds, 4.seconds))
            val figures = ZoneWork(slots, tasks, changes).changes().single()
            assertEquals(100.0, figures.lastStartMillis)
            assertEquals(200.0, figures.firstStartMillis)
            assertEquals(200.0, figures.fullWorkMillis)
        }

        @Test
        fun `a zone that is never fully used again has no time of full use`() {
            val figures = ZoneWork(mapOf(b to 2), listOf(task(b, 3200.milliseconds, 4.seconds)), changes).changes().single()
            assertNull(figures.fullWorkMillis)
            assertNull(figures.lastStartMillis)
        }
    }

    @Nested
    inner class `a line of the changes file` {
        @Test
        fun `gives the zone and the time since the start of the run`() {
            assertEquals(ZoneChange(b, 500.milliseconds, inService = false), parseZoneChange("1500 out b", startedAtMillis = 1000))
            assertNull(parseZoneChange("1500 leader-killed control-1", startedAtMillis = 1000))
        }
    }
}
