package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.time.Duration
import kotlin.time.Duration.Companion.ZERO
import kotlin.time.Duration.Companion.milliseconds

private const val SEEDS = 200
private const val STEPS = 400
private const val TARGETS = 12
private const val ZONES = 3

/** Compares each choice of [LeastLoadedPool] with an exhaustive search of all targets, over random operations. */
class LeastLoadedPoolReferenceTest {
    private class ReferenceTarget(
        val zone: ZoneId,
        var credits: Int = 0,
        var running: Int = 0,
    )

    /** A pool and the expected counts. No target fails and none is a straggler, so that every credit is usable. */
    private class RandomOperations(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val model = RunTimeModel()
        private val pool = LeastLoadedPool(model)
        private val reference = LinkedHashMap<TargetId, ReferenceTarget>()
        private val name = "seed $seed"

        fun step() {
            val number = random.nextInt(TARGETS)
            val target = TargetId("t$number")
            when (random.nextInt(8)) {
                0, 1 -> grant(target, ZoneId("z${number % ZONES}"))
                2, 3, 4 -> spend()
                5 -> end(target, ran = (80 + random.nextInt(60)).milliseconds)
                6 -> withdraw(target)
                else -> if (random.nextInt(10) == 0) removeTarget(target) else taskNotStarted(target)
            }
            assertEquals(
                reference.filterValues { it.credits > 0 }.mapValues { it.value.credits },
                pool.unspent().associate {
                    it.target to
                        it.credits
                },
                name,
            )
        }

        private fun grant(
            target: TargetId,
            zone: ZoneId,
        ) {
            val credits = 1 + random.nextInt(3)
            pool.grant(target, zone, credits)
            reference.getOrPut(target) { ReferenceTarget(zone) }.credits += credits
        }

        private fun spend() {
            val targetsWithCredits = reference.filterValues { it.credits > 0 }.keys
            val expected = targetsWithCredits.minWithOrNull(compareBy({ load(it) }, { zoneRunning(it) }))
            assertEquals(expected, pool.spend(ZERO)?.target, name)
            val expectedTarget = reference[expected] ?: return
            expectedTarget.credits--
            expectedTarget.running++
        }

        private fun load(target: TargetId) = (reference.getValue(target).running + 1) * maxOf(1.0, model.slowness(target))

        private fun zoneRunning(target: TargetId) =
            reference.values.filter { it.zone == reference.getValue(target).zone }.sumOf { it.running }

        private fun end(
            target: TargetId,
            ran: Duration,
        ) {
            pool.taskEnded(target, ran, failed = false, now = ZERO)
            release(target)
        }

        private fun taskNotStarted(target: TargetId) {
            pool.taskNotStarted(target)
            release(target)
        }

        private fun release(target: TargetId) {
            val expectedTarget = reference[target] ?: return
            expectedTarget.running = maxOf(0, expectedTarget.running - 1)
        }

        private fun withdraw(target: TargetId) {
            val expectedTarget = reference[target]
            assertEquals(minOf(2, expectedTarget?.credits ?: 0), pool.withdraw(target, 2), name)
            if (expectedTarget != null) expectedTarget.credits = maxOf(0, expectedTarget.credits - 2)
        }

        private fun removeTarget(target: TargetId) {
            pool.removeTarget(target)
            reference.remove(target)
        }
    }

    @Test
    fun `chooses by least load, then by fewest running tasks in the zone, then by order of first grant`() {
        for (seed in 1..SEEDS) {
            val operations = RandomOperations(seed)
            repeat(STEPS) { operations.step() }
        }
        println("seeds 1..$SEEDS, $STEPS steps each")
    }
}
