package io.bluebellramp.bench.jobs

import io.bluebellramp.bench.UsageException
import org.junit.jupiter.api.Nested
import java.nio.file.Path
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class JobsTrialTest {
    private val file = Path.of(checkNotNull(javaClass.getResource("/site.toml")).toURI())

    private fun simulate(
        day: String? = null,
        load: Double = 1.0,
        seed: Long = 1,
    ) = JobsTrial(SiteFile.read(file, day), seed, load).run()

    @Nested
    inner class SiteFiles {
        @Test
        fun `targets, kinds of requests and traffic are read`() {
            val site = SiteFile.read(file, null)
            assertEquals(listOf(16_000, 16_000, 24_000, 16_000), site.targets.map { it.milliCpu })
            assertEquals(listOf(1.0, 0.9, 1.0, 0.9), site.targets.map { it.speed })
            assertEquals(2, site.entries.size)
            assertEquals(
                80.0,
                site.kinds
                    .first()
                    .work.mean,
            )
            assertEquals(15.0, site.arrivals.single().perSecond)
            assertEquals(60.milliseconds, site.kinds.first().allowance)
            assertEquals(10.seconds, site.length)
        }

        @Test
        fun `a day has its disturbances, and unknown ones are ignored`() {
            val disturbance = SiteFile.read(file, "cut").disturbances.single()
            assertEquals(Disturbance.Kind.CUT, disturbance.kind)
            assertEquals(3.seconds, disturbance.at)
        }

        @Test
        fun `a missing day or file is reported`() {
            assertTrue("no day tuesday" in assertFailsWith<UsageException> { SiteFile.read(file, "tuesday") }.message!!)
            assertTrue("cannot read" in assertFailsWith<UsageException> { SiteFile.read(Path.of("nowhere.toml"), null) }.message!!)
        }
    }

    @Nested
    inner class Callers {
        private fun all(jobs: List<SimulatedJob>) = JobsReport.rows(jobs).first()

        @Test
        fun `the same seed gives the same results`() {
            val first = JobsReport.rows(simulate(seed = 5))
            assertEquals(first, JobsReport.rows(simulate(seed = 5)))
            assertTrue(first != JobsReport.rows(simulate(seed = 6)))
        }

        @Test
        fun `at half of the capacity nearly all jobs end in time`() {
            val row = all(simulate())
            assertTrue(row.inAim >= row.asked * UNDISTURBED_IN_TIME_SHARE, "$row")
            assertEquals(row.asked, row.inAim + row.late + row.refused + row.failed)
        }

        @Test
        fun `jobs of a burst beyond the capacity are refused rather than served late`() {
            val row = all(simulate(day = "burst", load = 2.0))
            assertTrue(row.refused > row.late, "$row")
            assertTrue(row.inAim >= row.asked / 4, "$row")
        }

        @Test
        fun `few jobs miss their objective while a target hangs`() {
            val row = all(simulate(day = "hanging"))
            assertTrue(row.inAim >= row.asked * DISTURBED_IN_TIME_SHARE, "$row")
        }

        @Test
        fun `few jobs miss their objective while a target is cut off, and it serves again afterwards`() {
            val jobs = simulate(day = "cut")
            assertTrue(all(jobs).inAim >= jobs.size * DISTURBED_IN_TIME_SHARE, "${all(jobs)}")
            val afterwards = all(jobs.filter { it.arrivedAt > JobsTrial.START_UP_TIME + 7.seconds })
            assertTrue(afterwards.inAim >= afterwards.asked * DISTURBED_IN_TIME_SHARE, "$afterwards")
        }
    }

    /** Twelve targets, of which each third is 2.4 times as fast as the others, near the throughput of all. */
    @Nested
    inner class UnevenTargets {
        private fun shareInTime(
            isKindNamed: Boolean,
            vararg disturbances: Disturbance,
        ): Double {
            val site = SiteFile.read(file, null)
            val targets =
                List(12) {
                    val zone = site.targets[it % site.targets.size].zone
                    val name =
                        if (!isKindNamed) {
                            ""
                        } else if (it % 3 == 2) {
                            "b"
                        } else {
                            "a"
                        }
                    if (it % 3 == 2) TargetKind(zone, 24_000, 32_768, 1.7, name) else TargetKind(zone, 16_000, 32_768, 0.7, name)
                }
            val row =
                JobsReport
                    .rows(
                        JobsTrial(site.copy(targets = targets, disturbances = disturbances.toList()), 1, load = 5.0).run(),
                    ).first()
            return row.inAim.toDouble() / row.asked
        }

        private fun fault(
            kind: Disturbance.Kind,
            share: Double,
        ) = Disturbance(kind, 4.seconds, 2.seconds, share, factor = 5.0, requestKind = "")

        @Test
        fun `more jobs end in time if the kinds of targets are known`() {
            val share = shareInTime(isKindNamed = true)
            assertTrue(share >= UNDISTURBED_IN_TIME_SHARE, "$share")
            assertTrue(share > shareInTime(isKindNamed = false), "$share")
        }

        @Test
        fun `few jobs miss their objective while targets restart and one is slow`() {
            val faults = arrayOf(fault(Disturbance.Kind.CRASHED, share = 0.1), fault(Disturbance.Kind.SLOW, share = 0.1))
            val share = shareInTime(isKindNamed = true, *faults)
            assertTrue(share >= DISTURBED_IN_TIME_SHARE, "$share")
        }
    }

    /** Bursts of a long kind with low priority that coincide with bursts of a short urgent one. */
    @Nested
    inner class CompetingPriorities {
        private val bursts =
            listOf("long" to 2.5, "short" to 1.7).map { (kind, factor) ->
                Disturbance(Disturbance.Kind.BURST, 2.seconds, 4.seconds, share = 0.0, factor = factor, requestKind = kind)
            }

        private fun play(disturbances: List<Disturbance> = bursts): List<SimulatedJob> {
            val site = SiteFile.read(file, null)
            val kinds = site.kinds.map { it.copy(priority = if (it.name == "short") 0 else 2) }
            return JobsTrial(site.copy(kinds = kinds, disturbances = disturbances).scaled(2.0), seed = 1, load = 1.5).run()
        }

        private fun List<JobsRow>.inAimShare(name: String) = first { it.name == name }.let { it.inAim.toDouble() / it.asked }

        @Test
        fun `the urgent kind is served best and the largest jobs at least half as often as their kind`() {
            val rows = JobsReport.rows(play())
            assertTrue(rows.first().refused > 0, "no shortage: ${rows.first()}")
            assertTrue(rows.inAimShare("short") > rows.inAimShare("long"), "$rows")
            for (kind in listOf("short", "long")) {
                assertTrue(rows.inAimShare("$kind, largest tenth") >= rows.inAimShare(kind) / 2, "$rows")
            }
        }

        @Test
        fun `after the bursts jobs are served as without them`() {
            val after = { job: SimulatedJob -> job.arrivedAt > JobsTrial.START_UP_TIME + 8.seconds }
            val undisturbed = JobsReport.rows(play(emptyList()).filter(after)).inAimShare("all")
            val rows = JobsReport.rows(play().filter(after))
            assertTrue(rows.inAimShare("all") >= undisturbed * UNDISTURBED_IN_TIME_SHARE, "$undisturbed, $rows")
        }

        @Test
        fun `a quarter of the targets cut off at the peak costs each kind at most half of its service`() {
            val cut = Disturbance(Disturbance.Kind.CUT, 4.seconds, 2.seconds, share = 0.25, factor = 1.0, requestKind = "")
            val rows = JobsReport.rows(play())
            val cutRows = JobsReport.rows(play(bursts + cut))
            for (kind in listOf("short", "long")) {
                assertTrue(cutRows.inAimShare(kind) >= rows.inAimShare(kind) / 2, "$rows, $cutRows")
            }
        }
    }

    private companion object {
        /** Minimum share of jobs that must end in time, without and with disturbances. */
        const val UNDISTURBED_IN_TIME_SHARE = 0.90
        const val DISTURBED_IN_TIME_SHARE = 0.85
    }
}
