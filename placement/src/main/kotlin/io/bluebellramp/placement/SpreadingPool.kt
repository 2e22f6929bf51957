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
    /** When a credit of a target was last spent, and the good trials since it became a straggler. */
    private class Trials {
        var lastSpent = -Duration.INFINITE
        var good = 0
    }

    private val holdings = CreditHoldings { Trials() }

    override fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    ) {
        health.joined(target)
        holdings.grant(target, zone, credits)
    }

    override fun spend(now: Duration): CreditedTarget? {
        val usable = holdings.all.filter { isUsable(it, now) }
        val zones = zoneLoads()
        val holding = usable.minWithOrNull(compareBy({ load(it) }, { zones[it.zone] ?: 0 })) ?: return null
        holding.spend()
        holding.state.lastSpent = now
        health.used(holding.target)
        return holding.view()
    }

    override fun ended(
        target: TargetId,
        ran: Duration,
        failed: Boolean,
        now: Duration,
    ) {
        holdings[target]?.release()
        if (!failed) learn(target, ran)
        health.ended(target, failed, now)
    }

    override fun notRun(target: TargetId) {
        holdings[target]?.release()
        health.unused(target)
    }

    override fun withdraw(
        target: TargetId,
        credits: Int,
    ): Int = holdings.withdraw(target, credits)

    override fun drop(target: TargetId) {
        holdings.drop(target)
        health.left(target)
    }

    override fun unspent(): List<CreditedTarget> = holdings.unspent()

    private fun isUsable(
        holding: CreditHolding<Trials>,
        now: Duration,
    ): Boolean = holding.credits > 0 && health.mayUse(holding.target, now) && (!isStraggler(holding.target) || isTrialDue(holding, now))

    /** Slowness is relative to the mean of the service, so at most half of the targets can be stragglers. */
    private fun isStraggler(target: TargetId): Boolean = model.slowness(target) >= STRAGGLER_SLOWNESS

    private fun isTrialDue(
        holding: CreditHolding<Trials>,
        now: Duration,
    ): Boolean = holding.running == 0 && now - holding.state.lastSpent >= STRAGGLER_TRIAL_PERIOD

    private fun learn(
        target: TargetId,
        ran: Duration,
    ) {
        val trials = holdings[target]?.state
        if (trials != null && isStraggler(target)) countTrial(target, trials, isGood = ran < model.mean * STRAGGLER_SLOWNESS)
        model.observe(target, ran)
    }

    private fun countTrial(
        target: TargetId,
        trials: Trials,
        isGood: Boolean,
    ) {
        trials.good = if (isGood) trials.good + 1 else 0
        if (trials.good < TRIALS_TO_RECOVER) return
        trials.good = 0
        model.forget(target)
    }

    private fun load(holding: CreditHolding<Trials>): Double = (holding.running + 1) * maxOf(1.0, model.slowness(holding.target))

    private fun zoneLoads(): Map<ZoneId, Int> = holdings.all.groupingBy { it.zone }.fold(0) { sum, holding -> sum + holding.running }

    private companion object {
        const val STRAGGLER_SLOWNESS = 2.0
        val STRAGGLER_TRIAL_PERIOD = 10.seconds
        const val TRIALS_TO_RECOVER = 3
    }
}
