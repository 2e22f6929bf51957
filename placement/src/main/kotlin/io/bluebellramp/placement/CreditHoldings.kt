package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import java.util.TreeMap
import java.util.TreeSet

/**
 * The credits and the running tasks of one target, and the [state] that a pool keeps beside them.
 *
 * @property place place in the order in which the targets came
 */
internal class CreditHolding<S>(
    val target: TargetId,
    val zone: ZoneId,
    val state: S,
    val place: Long,
) {
    /** Unspent credits. */
    var credits = 0
        internal set

    /** Tasks of this entry that run there. */
    var running = 0
        internal set

    /** What is known of the target. */
    fun view() = CreditedTarget(target = target, zone = zone, credits = credits, running = running)
}

/**
 * The credits of one service by target. No I/O, one thread at a time.
 *
 * Targets with credits are kept by their running tasks and zone, so that a choice need not look at all of them.
 */
internal class CreditHoldings<S>(
    private val newState: () -> S,
) {
    private val holdings = LinkedHashMap<TargetId, CreditHolding<S>>()
    private val byRunning = TreeMap<Int, HashMap<ZoneId, TreeSet<CreditHolding<S>>>>()
    private val runningByZone = HashMap<ZoneId, Int>()
    private var lastPlace = 0L

    /** The holdings that have credits by running tasks, fewest first, and by zone, in the order in which they came. */
    val credited: Map<Int, Map<ZoneId, Set<CreditHolding<S>>>> get() = byRunning

    /** Returns the holding of [target], or null if there is none. */
    operator fun get(target: TargetId): CreditHolding<S>? = holdings[target]

    /** Tasks of this entry that run in [zone]. */
    fun running(zone: ZoneId): Int = runningByZone[zone] ?: 0

    /** Adds credits of [target]. */
    fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    ) = change(holdings.getOrPut(target) { CreditHolding(target, zone, newState(), ++lastPlace) }, credits = credits)

    /** Spends one credit of [holding]. */
    fun spend(holding: CreditHolding<S>) = change(holding, credits = -1, running = 1)

    /** Notes that a task of [target] no longer runs. */
    fun release(target: TargetId) {
        val holding = holdings[target] ?: return
        if (holding.running > 0) change(holding, running = -1)
    }

    /** Takes out up to [credits] unspent credits of [target] and tells how many. */
    fun withdraw(
        target: TargetId,
        credits: Int,
    ): Int {
        val holding = holdings[target] ?: return 0
        val taken = minOf(credits, holding.credits)
        change(holding, credits = -taken)
        return taken
    }

    /** Forgets [target]. */
    fun drop(target: TargetId) {
        val holding = holdings.remove(target) ?: return
        change(holding, credits = -holding.credits, running = -holding.running)
    }

    /** Unspent credits by target. */
    fun unspent(): List<CreditedTarget> = holdings.values.filter { it.credits > 0 }.map { it.view() }

    private fun change(
        holding: CreditHolding<S>,
        credits: Int = 0,
        running: Int = 0,
    ) {
        if (holding.credits > 0) leaveIndex(holding)
        holding.credits += credits
        holding.running += running
        if (running != 0) runningByZone.merge(holding.zone, running, Int::plus)
        if (holding.credits > 0) enterIndex(holding)
    }

    private fun enterIndex(holding: CreditHolding<S>) {
        val zones = byRunning.getOrPut(holding.running) { HashMap() }
        zones.getOrPut(holding.zone) { TreeSet(compareBy { it.place }) } += holding
    }

    private fun leaveIndex(holding: CreditHolding<S>) {
        val zones = byRunning.getValue(holding.running)
        val same = zones.getValue(holding.zone)
        same -= holding
        if (same.isEmpty()) zones -= holding.zone
        if (zones.isEmpty()) byRunning -= holding.running
    }
}
