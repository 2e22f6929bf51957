package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Spends a credit of the healthy target with the least load from this entry, so that a job spreads over targets and zones.
 *
 * The load of a target is its number of tasks weighted by its learned slowness. A straggler only gets an occasional trial task, which
 * shows whether it has recovered: the slowest task determines the response time of a job, so using a straggler costs more than it gains.
 * Ejected targets only get trial tasks as well.
 */
class LeastLoadedPool(
    private val model: RunTimeModel = RunTimeModel(),
    private val health: TargetHealth = TargetHealth(),
) : CreditPool {
    /** When a credit of a target was last spent, and its consecutive good trials while it is a straggler. */
    private class Trials {
        var lastSpentAt = -Duration.INFINITE
        var goodTrials = 0
    }

    private val holdings = CreditHoldings { Trials() }

    override fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    ) {
        health.targetJoined(target)
        holdings.grant(target, zone, credits)
    }

    override fun spend(now: Duration): CreditedTarget? {
        val holding = choose(now) ?: return null
        holdings.spend(holding)
        holding.state.lastSpentAt = now
        health.taskSent(holding.target)
        return holding.toCreditedTarget()
    }

    override fun taskEnded(
        target: TargetId,
        ran: Duration,
        failed: Boolean,
        now: Duration,
    ) {
        holdings.release(target)
        if (!failed) learn(target, ran)
        health.taskEnded(target, failed, now)
    }

    override fun taskNotStarted(target: TargetId) {
        holdings.release(target)
        health.taskNotStarted(target)
    }

    override fun withdraw(
        target: TargetId,
        credits: Int,
    ): Int = holdings.withdraw(target, credits)

    override fun removeTarget(target: TargetId) {
        holdings.removeTarget(target)
        health.targetLeft(target)
    }

    override fun unspent(): List<CreditedTarget> = holdings.unspent()

    /** Returns the usable target with the least load. Ties go to the zone with the fewest running tasks, then to the first target seen. */
    private fun choose(now: Duration): CreditHolding<Trials>? {
        var best: Candidate? = null
        for ((running, zones) in holdings.credited) {
            if (best != null && best.load < minLoad(running)) break
            val bestOfZones = zones.values.mapNotNull { leastLoaded(it, minLoad(running), now) }
            best = (listOfNotNull(best) + bestOfZones).minWithOrNull(compareBy({ it.load }, { it.zoneRunning }, { it.holding.sequence }))
        }
        return best?.holding
    }

    /** Returns the usable one of [holdings] with the least load. No load is below [minLoad], so the search stops once it is reached. */
    private fun leastLoaded(
        holdings: Set<CreditHolding<Trials>>,
        minLoad: Double,
        now: Duration,
    ): Candidate? {
        var least: Candidate? = null
        for (holding in holdings) {
            if (!isUsable(holding, now)) continue
            val load = load(holding)
            if (least == null || load < least.load) least = Candidate(holding, load, this.holdings.running(holding.zone))
            if (load <= minLoad) break
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
    ): Boolean = holding.running == 0 && now - holding.state.lastSpentAt >= STRAGGLER_TRIAL_PERIOD

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
        trials.goodTrials = if (isGood) trials.goodTrials + 1 else 0
        if (trials.goodTrials < TRIALS_TO_RECOVER) return
        trials.goodTrials = 0
        model.forget(target)
    }

    private fun load(holding: CreditHolding<Trials>): Double = minLoad(holding.running) * maxOf(1.0, model.slowness(holding.target))

    /** Returns the load with [running] tasks of a target that is no slower than the mean. */
    private fun minLoad(running: Int): Double = running + 1.0

    private companion object {
        const val STRAGGLER_SLOWNESS = 2.0
        val STRAGGLER_TRIAL_PERIOD = 10.seconds
        const val TRIALS_TO_RECOVER = 3
    }
}
