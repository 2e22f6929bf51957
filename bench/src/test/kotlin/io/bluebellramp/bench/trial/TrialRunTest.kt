package io.bluebellramp.bench.trial

import io.bluebellramp.placement.FewestTasksLeftQueue
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class TrialRunTest {
    private fun settings(
        scenario: TrialScenario = TrialScenario.PLAIN,
        load: Double = 0.8,
    ) = TrialSettings(
        site = TrialSite.BREKKE,
        load = load,
        entries = 3,
        scenario = scenario,
        length = 60.seconds,
        seed = 11,
        tuning =
            TrialTuning(
                prefetch = 0,
                demandReportPeriod = 20.milliseconds,
                lateFactor = FewestTasksLeftQueue.LATE_FACTOR,
                lateShare = FewestTasksLeftQueue.LATE_SHARE,
            ),
    )

    private fun run(
        policy: TrialPolicy,
        settings: TrialSettings = settings(),
    ) = TrialRun(settings, policy).run()

    private fun row(
        policy: TrialPolicy,
        settings: TrialSettings,
    ) = TrialRow.of(policy, listOf(run(policy, settings)))

    @Nested
    inner class `every policy` {
        @Test
        fun `completes every job and runs each task once`() {
            val jobs = settings().jobs()
            for (policy in TrialPolicy.entries) {
                val sample = run(policy)
                assertEquals(jobs.size, sample.slowdowns().size, policy.label)
                assertEquals(jobs.sumOf { it.tasks.size }, sample.tally.started, policy.label)
            }
        }

        @Test
        fun `gives the same figures for the same seed`() {
            for (policy in TrialPolicy.entries) assertEquals(run(policy).responses(), run(policy).responses(), policy.label)
        }

        @Test
        fun `completes every job while a zone goes out of service and returns`() {
            val settings = settings(TrialScenario.ZONE, load = 1.2)
            for (policy in TrialPolicy.entries) assertEquals(settings.jobs().size, run(policy, settings).slowdowns().size, policy.label)
        }
    }

    @Nested
    inner class `the current policy` {
        @Test
        fun `wastes less than 2 messages per 100 tasks`() {
            assertTrue(row(TrialPolicy.CURRENT, settings()).wastedPerTask < 0.02)
        }

        @Test
        fun `fails less than 2 percent of the tasks in a minute with an executor that fails every task`() {
            assertTrue(row(TrialPolicy.CURRENT, settings(TrialScenario.FAILING)).failedShare < 0.02)
        }

        @Test
        fun `does 97 percent of the work that the slots allow while a zone goes out of service and returns`() {
            assertTrue(row(TrialPolicy.CURRENT, settings(TrialScenario.ZONE, load = 1.2)).zoneShare >= 0.97)
        }

        @Test
        fun `has a lower p99 slowdown than each baseline`() {
            val current = row(TrialPolicy.CURRENT, settings()).slowdown.p99
            val baselines = listOf(TrialPolicy.RANDOM, TrialPolicy.TWO_CHOICES, TrialPolicy.LEAST_LOADED, TrialPolicy.FIRST_COME)
            for (policy in baselines) assertTrue(current < row(policy, settings()).slowdown.p99, policy.label)
        }
    }
}
