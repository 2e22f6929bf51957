package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import java.util.TreeMap
import java.util.TreeSet

/**
 * The credits and running tasks of one target.
 *
 * @property state policy-specific data that a pool keeps for the target
 * @property sequence position in the order in which targets were first seen
 */
internal class CreditHolding<S>(
    val target: TargetId,
    val zone: ZoneId,
    val state: S,
    val sequence: Long,
) {
    /** Unspent credits. */
    var credits = 0
        internal set

    /** Tasks of this entry that run on the target. */
    var running = 0
        internal set

    /** Returns an immutable copy for callers of the pool. */
    fun toCreditedTarget() = CreditedTarget(target = target, zone = zone, credits = credits, running = running)
}

/**
 * The credits of one service by target. Not thread-safe.
 *
 * Targets with credits are indexed by their number of running tasks and by zone, so that a choice need not examine all of them.
 */
internal class CreditHoldings<S>(
    private val newState: () -> S,
) {
    private val holdings = LinkedHashMap<TargetId, CreditHolding<S>>()
    private val creditedByRunning = TreeMap<Int, HashMap<ZoneId, TreeSet<CreditHolding<S>>>>()
    private val runningByZone = HashMap<ZoneId, Int>()
    private var lastSequence = 0L

    /** Targets with credits by number of running tasks, fewest first, then by zone, each in the order of first sight. */
    val credited: Map<Int, Map<ZoneId, Set<CreditHolding<S>>>> get() = creditedByRunning

    /** Returns the credits of [target], or null if it is unknown. */
    operator fun get(target: TargetId): CreditHolding<S>? = holdings[target]

    /** Returns the number of tasks of this entry that run in [zone]. */
    fun running(zone: ZoneId): Int = runningByZone[zone] ?: 0

    /** Adds credits of [target]. */
    fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    ) = adjust(holdings.getOrPut(target) { CreditHolding(target, zone, newState(), ++lastSequence) }, credits = credits)

    /** Spends one credit of [holding] and counts one more running task. */
    fun spend(holding: CreditHolding<S>) = adjust(holding, credits = -1, running = 1)

    /** Records that a task on [target] no longer runs. */
    fun release(target: TargetId) {
        val holding = holdings[target] ?: return
        if (holding.running > 0) adjust(holding, running = -1)
    }

    /** Removes up to [credits] unspent credits of [target]. Returns the number removed. */
    fun withdraw(
        target: TargetId,
        credits: Int,
    ): Int {
        val holding = holdings[target] ?: return 0
        val removed = minOf(credits, holding.credits)
        adjust(holding, credits = -removed)
        return removed
    }

    /** Removes [target] with its credits and running tasks. */
    fun removeTarget(target: TargetId) {
        val holding = holdings.remove(target) ?: return
        adjust(holding, credits = -holding.credits, running = -holding.running)
    }

    /** Returns the targets with unspent credits. */
    fun unspent(): List<CreditedTarget> = holdings.values.filter { it.credits > 0 }.map { it.toCreditedTarget() }

    private fun adjust(
        holding: CreditHolding<S>,
        credits: Int = 0,
        running: Int = 0,
    ) {
        if (holding.credits > 0) removeFromIndex(holding)
        holding.credits += credits
        holding.running += running
        if (running != 0) runningByZone.merge(holding.zone, running, Int::plus)
        if (holding.credits > 0) addToIndex(holding)
    }

    private fun addToIndex(holding: CreditHolding<S>) {
        val zones = creditedByRunning.getOrPut(holding.running) { HashMap() }
        zones.getOrPut(holding.zone) { TreeSet(compareBy { it.sequence }) } += holding
    }

    private fun removeFromIndex(holding: CreditHolding<S>) {
        val zones = creditedByRunning.getValue(holding.running)
        val inZone = zones.getValue(holding.zone)
        inZone -= holding
        if (inZone.isEmpty()) zones -= holding.zone
        if (zones.isEmpty()) creditedByRunning -= holding.running
    }
}
