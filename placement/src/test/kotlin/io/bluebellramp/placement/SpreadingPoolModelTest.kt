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

/** Compares each choice of [SpreadingPool] with a plain search of all targets, over random histories. */
class SpreadingPoolModelTest {
    private class Plain(
        val zone: ZoneId,
        var credits: Int = 0,
        var running: Int = 0,
    )

    /** A pool and beside it plain counts. No target fails and none is a straggler, so that every credit is usable. */
    private class History(
        seed: Int,
    ) {
        private val random = Random(seed)
        private val model = RunTimeModel()
        private val pool = SpreadingPool(model)
        private val plain = LinkedHashMap<TargetId, Plain>()
        private val name = "seed $seed"

        fun step() {
            val number = random.nextInt(TARGETS)
            val target = TargetId("t$number")
            when (random.nextInt(8)) {
                0, 1 -> grant(target, ZoneId("z${number % ZONES}"))
                2, 3, 4 -> spend()
                5 -> end(target, ran = (80 + random.nextInt(60)).milliseconds)
                6 -> withdraw(target)
                else -> if (random.nextInt(10) == 0) drop(target) else notRun(target)
            }
            assertEquals(
                plain.filterValues { it.credits > 0 }.mapValues { it.value.credits },
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
            plain.getOrPut(target) { Plain(zone) }.credits += credits
        }

        private fun spend() {
            val credited = plain.filterValues { it.credits > 0 }.keys
            val expected = credited.minWithOrNull(compareBy({ load(it) }, { zoneRunning(it) }))
            assertEquals(expected, pool.spend(ZERO)?.target, name)
            val holding = plain[expected] ?: return
            holding.credits--
            holding.running++
        }

        private fun load(target: TargetId) = (plain.getValue(target).running + 1) * maxOf(1.0, model.slowness(target))

        private fun zoneRunning(target: TargetId) = plain.values.filter { it.zone == plain.getValue(target).zone }.sumOf { it.running }

        private fun end(
            target: TargetId,
            ran: Duration,
        ) {
            pool.ended(target, ran, failed = false, now = ZERO)
            release(target)
        }

        private fun notRun(target: TargetId) {
            pool.notRun(target)
            release(target)
        }

        private fun release(target: TargetId) {
            val holding = plain[target] ?: return
            holding.running = maxOf(0, holding.running - 1)
        }

        private fun withdraw(target: TargetId) {
            val holding = plain[target]
            assertEquals(minOf(2, holding?.credits ?: 0), pool.withdraw(target, 2), name)
            if (holding != null) holding.credits = maxOf(0, holding.credits - 2)
        }

        private fun drop(target: TargetId) {
            pool.drop(target)
            plain.remove(target)
        }
    }

    @Test
    fun `each choice has the least load then the zone with the least work, then the first place`() {
        for (seed in 1..SEEDS) {
            val history = History(seed)
            repeat(STEPS) { history.step() }
        }
        println("seeds 1..$SEEDS, $STEPS steps each")
    }
}
