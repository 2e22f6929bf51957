package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Spends a credit of a healthy target on which this entry has the least work, so that a job spreads over targets and zones.
 *
 * The tasks on a target count by its learned slowness. A straggler gets a single task from time to time, which shows whether it
 * has recovered: the last task decides the response of a job, so the few tasks that it could run would cost more than they give.
 * Ejected targets get only trials, too.
 */
class SpreadingPool(
    private val model: RunTimeModel = RunTimeModel(),
    private val health: TargetHealth = TargetHealth(),
) : CreditPool {
    private class Holding(
        val zone: ZoneId,
        var credits: Int = 0,
        var running: Int = 0,
        var lastSpent: Duration = -Duration.INFINITE,
        var goodTrials: Int = 0,
    )

    private val targets = LinkedHashMap<TargetId, Holding>()

    override fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    ) {
        health.joined(target)
        targets.getOrPut(target) { Holding(zone) }.credits += credits
    }

    override fun spend(now: Duration): CreditedTarget? {
        val usable = targets.filter { (target, holding) -> isUsable(target, holding, now) }
        val zones = zoneLoads()
        val (target, holding) =
            usable.entries.minWithOrNull(compareBy({ load(it.key, it.value) }, { zones[it.value.zone] ?: 0 })) ?: return null
        holding.credits--
        holding.running++
        holding.lastSpent = now
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
        if (!failed) learn(target, ran)
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
    ): Boolean = holding.credits > 0 && health.mayUse(target, now) && (!isStraggler(target) || isTrialDue(holding, now))

    /** Slowness is relative to the mean of the service, so at most half of the targets can be stragglers. */
    private fun isStraggler(target: TargetId): Boolean = model.slowness(target) >= STRAGGLER_SLOWNESS

    private fun isTrialDue(
        holding: Holding,
        now: Duration,
    ): Boolean = holding.running == 0 && now - holding.lastSpent >= STRAGGLER_TRIAL_PERIOD

    private fun learn(
        target: TargetId,
        ran: Duration,
    ) {
        val holding = targets[target]
        if (holding != null && isStraggler(target)) countTrial(target, holding, isGood = ran < model.mean * STRAGGLER_SLOWNESS)
        model.observe(target, ran)
    }

    private fun countTrial(
        target: TargetId,
        holding: Holding,
        isGood: Boolean,
    ) {
        holding.goodTrials = if (isGood) holding.goodTrials + 1 else 0
        if (holding.goodTrials < TRIALS_TO_RECOVER) return
        holding.goodTrials = 0
        model.forget(target)
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
        const val STRAGGLER_SLOWNESS = 2.0
        val STRAGGLER_TRIAL_PERIOD = 10.seconds
        const val TRIALS_TO_RECOVER = 3
    }
}
