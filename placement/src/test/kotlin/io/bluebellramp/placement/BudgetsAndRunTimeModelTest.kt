package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import org.junit.jupiter.api.Nested
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertIs
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class BudgetsAndRunTimeModelTest {
    private val model = RunTimeModel().also { model -> repeat(100) { model.observe(TargetId("t"), 100.milliseconds) } }

    @Nested
    inner class `retries` {
        @Test
        fun `are limited to their share after the initial burst`() {
            val budget = RetryBudget(share = 0.1, burst = 5)
            val retries =
                (1..1000).count {
                    budget.onFirstAttempt()
                    budget.tryRetry()
                }
            assertTrue(retries in 104..105, "$retries")
        }

        @Test
        fun `are refused with a share of 0`() = assertFalse(RetryBudget(share = 0.0).tryRetry())
    }

    @Nested
    inner class `hedging` {
        @Test
        fun `is allowed only for requests that are slow for their service`() {
            val budget = HedgingBudget(share = 0.1, model = model)
            assertFalse(budget.tryHedge(ran = 50.milliseconds))
            assertTrue(budget.tryHedge(ran = 200.milliseconds))
        }
    }

    @Nested
    inner class `a deadline` {
        private val cases =
            listOf(
                Triple(10, 0, true),
                Triple(800, 0, true),
                Triple(800, 1600, false),
                Triple(10, 8000, false),
            )

        @Test
        fun `is refused only if even an optimistic wait is too long`() {
            model.slots = 8
            for ((tasks, tasksAhead, reachable) in cases) {
                assertEquals(reachable, model.canMeet(tasks, tasksAhead, remaining = 10.seconds), "$tasks tasks behind $tasksAhead")
            }
        }

        @Test
        fun `is not refused before run times were observed`() {
            assertIs<DeadlineForecast.Reachable>(RunTimeModel().forecast(tasks = 1800, tasksAhead = 100_000, remaining = 1.milliseconds))
        }
    }

    @Nested
    inner class `learned run times` {
        @Test
        fun `distinguish a straggler from its service`() {
            repeat(100) { model.observe(TargetId("slow"), 500.milliseconds) }
            assertTrue(model.slowness(TargetId("slow")) > 1.5)
            assertTrue(model.slowness(TargetId("t")) < 1.0)
        }

        @Test
        fun `a quantile is accurate to a tenth`() {
            val spread = RunTimeModel()
            for (millis in 1..1000) spread.observe(TargetId("t"), millis.milliseconds)
            assertTrue(spread.quantile(0.5) in 450.milliseconds..550.milliseconds, "${spread.quantile(0.5)}")
        }
    }
}
