package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlin.time.Duration

/** Spends a credit of the target that runs the fewest tasks of this entry, so that a job spreads over targets and zones. */
class LeastRunningPool : CreditPool {
    private val holdings = CreditHoldings {}

    override fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    ) = holdings.grant(target, zone, credits)

    override fun spend(now: Duration): CreditedTarget? {
        val fewest = holdings.credited.values.firstOrNull() ?: return null
        val holding = fewest.values.map { it.first() }.minBy { it.sequence }
        holdings.spend(holding)
        return holding.toCreditedTarget()
    }

    override fun taskEnded(
        target: TargetId,
        ran: Duration,
        failed: Boolean,
        now: Duration,
    ) = taskNotStarted(target)

    override fun taskNotStarted(target: TargetId) = holdings.release(target)

    override fun withdraw(
        target: TargetId,
        credits: Int,
    ): Int = holdings.withdraw(target, credits)

    override fun removeTarget(target: TargetId) = holdings.removeTarget(target)

    override fun unspent(): List<CreditedTarget> = holdings.unspent()
}
