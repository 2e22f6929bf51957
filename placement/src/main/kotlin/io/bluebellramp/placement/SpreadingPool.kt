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
        val holding = choose(now) ?: return null
        holdings.spend(holding)
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
        holdings.release(target)
        if (!failed) learn(target, ran)
        health.ended(target, failed, now)
    }

    override fun notRun(target: TargetId) {
        holdings.release(target)
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

    /** The usable target with the least load, and among equals the first one in the zone with the least work. */
    private fun choose(now: Duration): CreditHolding<Trials>? {
        var best: Candidate? = null
        for ((running, zones) in holdings.credited) {
            if (best != null && best.load < leastLoad(running)) break
            val ofZones = zones.values.mapNotNull { leastOf(it, leastLoad(running), now) }
            best = (listOfNotNull(best) + ofZones).minWithOrNull(compareBy({ it.load }, { it.zoneRunning }, { it.holding.place }))
        }
        return best?.holding
    }

    /** The usable one of [holdings] with the least load. No load is below [bound], so the search ends there. */
    private fun leastOf(
        holdings: Set<CreditHolding<Trials>>,
        bound: Double,
        now: Duration,
    ): Candidate? {
        var least: Candidate? = null
        for (holding in holdings) {
            if (!isUsable(holding, now)) continue
            val load = load(holding)
            if (least == null || load < least.load) least = Candidate(holding, load, this.holdings.running(holding.zone))
            if (load <= bound) break
        }
        return least
    }

    private class Candidate(
        val holding: CreditHolding<Trials>,
        val load: Double,
        val zoneRunning: Int,
    )

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

    private fun load(holding: CreditHolding<Trials>): Double = leastLoad(holding.running) * maxOf(1.0, model.slowness(holding.target))

    /** The load of a target with [running] tasks that is no slower than the mean. */
    private fun leastLoad(running: Int): Double = running + 1.0

    private companion object {
        const val STRAGGLER_SLOWNESS = 2.0
        val STRAGGLER_TRIAL_PERIOD = 10.seconds
        const val TRIALS_TO_RECOVER = 3
    }
}
