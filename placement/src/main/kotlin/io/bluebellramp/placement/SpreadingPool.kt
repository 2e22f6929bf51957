package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlin.time.Duration

/**
 * Spends a credit of a healthy target on which this entry has the least work, so that a job spreads over targets and zones.
 *
 * The tasks on a target count by its learned slowness, and a straggler gets no more tasks than it would run in the time in
 * which an average target runs its share. Ejected targets get only trials.
 */
class SpreadingPool(
    private val model: RunTimeModel = RunTimeModel(),
    private val health: TargetHealth = TargetHealth(),
) : CreditPool {
    private class Holding(
        val zone: ZoneId,
        var credits: Int = 0,
        var running: Int = 0,
        var size: Int = 0,
    )

    private val targets = LinkedHashMap<TargetId, Holding>()

    override fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    ) {
        health.joined(target)
        val holding = targets.getOrPut(target) { Holding(zone) }
        holding.credits += credits
        holding.size = maxOf(holding.size, holding.credits + holding.running)
    }

    override fun spend(now: Duration): CreditedTarget? {
        val usable = targets.filter { (target, holding) -> isUsable(target, holding, now) }
        val zones = zoneLoads()
        val (target, holding) =
            usable.entries.minWithOrNull(compareBy({ load(it.key, it.value) }, { zones[it.value.zone] ?: 0 })) ?: return null
        holding.credits--
        holding.running++
        health.used(target)
        return holding.view(target)
    }

    override fun ended(
        target: TargetId,
        ran: Duration,
        failed: Boolean,
        now: Duration,
    ) {
        release(target)
        if (!failed) model.observe(target, ran)
        health.ended(target, failed, now)
    }

    override fun notRun(target: TargetId) {
        release(target)
        health.unused(target)
    }

    override fun withdraw(
        target: TargetId,
        credits: Int,
    ): Int {
        val holding = targets[target] ?: return 0
        val taken = minOf(credits, holding.credits)
        holding.credits -= taken
        return taken
    }

    override fun drop(target: TargetId) {
        targets.remove(target)
        health.left(target)
    }

    override fun unspent(): List<CreditedTarget> = targets.filterValues { it.credits > 0 }.map { (target, holding) -> holding.view(target) }

    private fun isUsable(
        target: TargetId,
        holding: Holding,
        now: Duration,
    ): Boolean = holding.credits > 0 && health.mayUse(target, now) && !isStragglerFull(target, holding)

    private fun isStragglerFull(
        target: TargetId,
        holding: Holding,
    ): Boolean {
        val slowness = model.slowness(target)
        return slowness >= STRAGGLER && holding.running >= maxOf(1.0, holding.size / slowness)
    }

    private fun load(
        target: TargetId,
        holding: Holding,
    ): Double = (holding.running + 1) * maxOf(1.0, model.slowness(target))

    private fun zoneLoads(): Map<ZoneId, Int> = targets.values.groupingBy { it.zone }.fold(0) { sum, holding -> sum + holding.running }

    private fun release(target: TargetId) {
        targets[target]?.let { it.running = maxOf(0, it.running - 1) }
    }

    private fun Holding.view(target: TargetId) = CreditedTarget(target = target, zone = zone, credits = credits, running = running)

    private companion object {
        const val STRAGGLER = 2.0
    }
}
