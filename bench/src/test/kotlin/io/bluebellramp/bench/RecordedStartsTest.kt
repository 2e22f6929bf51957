package io.bluebellramp.bench

import io.bluebellramp.core.ZoneId
import org.junit.jupiter.api.Nested
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Files
import java.nio.file.Path
import java.time.Instant
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class RecordedStartsTest {
    @TempDir
    lateinit var folder: Path

    private val plan = JobPlan(index = 0, arrivesAt = Duration.ZERO, tasks = listOf(100.milliseconds, 200.milliseconds))
    private val zone = ZoneId("a")

    private fun starts(
        vararg lines: String,
        isNotRun: Boolean = false,
    ): RecordedStarts {
        val file = Files.write(folder.resolve("target-1.txt"), lines.toList())
        return RecordedStarts(mapOf("s" to JobResult(plan, 1.seconds, isNotRun)), listOf(file), Instant.ofEpochMilli(1000))
    }

    @Nested
    inner class `the counts` {
        @Test
        fun `a task that started in two attempts counts as started twice`() {
            val report = starts("s 0 0 task 1010", "s 0 1 task 1020", "s 1 0 task 1030").report()
            assertEquals(StartsReport(starts = 3, twice = 1, extra = 1, afterNotRun = 0, byTarget = mapOf("target-1.txt" to 3)), report)
        }

        @Test
        fun `a start of a job that was answered not run is counted`() {
            assertEquals(1, starts("s 0 0 task 1010", isNotRun = true).report().afterNotRun)
        }

        @Test
        fun `starts of other submissions do not count`() {
            assertEquals(0, starts("other 0 0 task 1010").report().starts)
        }
    }

    @Nested
    inner class `the tasks` {
        @Test
        fun `a task ends when its run time is over, and one that never started when its job is answered`() {
            val tasks = starts("s 1 0 task 1010").taskExecutions(listOf(ZoneTargets(zone, 1, listOf(folder.resolve("target-1.txt")))))
            val ran = TaskExecution(arrived = Duration.ZERO, zone = zone, started = 10.milliseconds, end = 210.milliseconds)
            val never = TaskExecution(arrived = Duration.ZERO, zone = null, started = 1.seconds, end = 1.seconds)
            assertEquals(listOf(ran, never), tasks)
        }
    }

    @Nested
    inner class `a faulty target` {
        @Test
        fun `lengthens the sleep or replaces the payload by a failure`() {
            assertEquals("sleep:250;echo:x", PayloadFault.Slow(5).apply("sleep:50;echo:x"))
            assertEquals("fail:10", PayloadFault.Failing(10).apply("sleep:50;echo:x"))
        }
    }
}
