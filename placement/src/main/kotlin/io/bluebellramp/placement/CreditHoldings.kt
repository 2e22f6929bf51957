package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId

/** The credits and the running tasks of one target, and the [state] that a pool keeps beside them. */
internal class CreditHolding<S>(
    val target: TargetId,
    val zone: ZoneId,
    val state: S,
) {
    /** Unspent credits. */
    var credits = 0

    /** Tasks of this entry that run there. */
    var running = 0

    /** Spends one credit. */
    fun spend() {
        credits--
        running++
    }

    /** Notes that a task no longer runs. */
    fun release() {
        running = maxOf(0, running - 1)
    }

    /** What is known of the target. */
    fun view() = CreditedTarget(target = target, zone = zone, credits = credits, running = running)
}

/** The credits of one service by target, in the order in which the targets came. No I/O, one thread at a time. */
internal class CreditHoldings<S>(
    private val newState: () -> S,
) {
    private val holdings = LinkedHashMap<TargetId, CreditHolding<S>>()

    /** The holdings of all targets. */
    val all: Collection<CreditHolding<S>> get() = holdings.values

    /** Returns the holding of [target], or null if there is none. */
    operator fun get(target: TargetId): CreditHolding<S>? = holdings[target]

    /** Adds credits of [target]. */
    fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    ) {
        holdings.getOrPut(target) { CreditHolding(target, zone, newState()) }.credits += credits
    }

    /** Takes out up to [credits] unspent credits of [target] and tells how many. */
    fun withdraw(
        target: TargetId,
        credits: Int,
    ): Int {
        val holding = holdings[target] ?: return 0
        val taken = minOf(credits, holding.credits)
        holding.credits -= taken
        return taken
    }

    /** Forgets [target]. */
    fun drop(target: TargetId) {
        holdings.remove(target)
    }

    /** Unspent credits by target. */
    fun unspent(): List<CreditedTarget> = holdings.values.filter { it.credits > 0 }.map { it.view() }
}
