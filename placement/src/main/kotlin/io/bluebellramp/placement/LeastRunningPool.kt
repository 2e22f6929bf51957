package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlin.time.Duration

/** Spends a credit of the target on which this entry has the fewest tasks, so that a job spreads over targets and zones. */
class LeastRunningPool : CreditPool {
    private class Holding(
        val zone: ZoneId,
        var credits: Int = 0,
        var running: Int = 0,
    )

    private val targets = LinkedHashMap<TargetId, Holding>()

    override fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    ) {
        targets.getOrPut(target) { Holding(zone) }.credits += credits
    }

    override fun spend(now: Duration): CreditedTarget? {
        val (target, holding) = targets.entries.filter { it.value.credits > 0 }.minByOrNull { it.value.running } ?: return null
        holding.credits--
        holding.running++
        return holding.view(target)
    }

    override fun ended(
        target: TargetId,
        ran: Duration,
        failed: Boolean,
        now: Duration,
    ) = notRun(target)

    override fun notRun(target: TargetId) {
        targets[target]?.let { it.running = maxOf(0, it.running - 1) }
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
    }

    override fun unspent(): List<CreditedTarget> = targets.filterValues { it.credits > 0 }.map { (target, holding) -> holding.view(target) }

    private fun Holding.view(target: TargetId) = CreditedTarget(target = target, zone = zone, credits = credits, running = running)
}
