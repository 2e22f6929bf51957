package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlin.time.Duration

/** A target for which an entry holds credits. */
data class CreditedTarget(
    val target: TargetId,
    val zone: ZoneId,
    val credits: Int,
    val running: Int,
)

/**
 * The credits that one entry holds for one service; dispatching a task spends one credit. Does no I/O and is not thread-safe.
 *
 * The credits of a target are void once its connection closes or the target leaves: call [removeTarget] then.
 */
interface CreditPool {
    /** Adds credits granted by the agent of [target]. */
    fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    )

    /** Chooses the target for the next task and spends one of its credits. Returns null if no credit can be spent. */
    fun spend(now: Duration): CreditedTarget?

    /** Records that a task on [target] ended after running for [ran]. [failed] is true if the task failed on the target. */
    fun taskEnded(
        target: TargetId,
        ran: Duration,
        failed: Boolean,
        now: Duration,
    )

    /** Records that a task dispatched to [target] is known not to have started. */
    fun taskNotStarted(target: TargetId)

    /** Removes up to [credits] unspent credits of [target], to be returned to its agent. Returns the number removed. */
    fun withdraw(
        target: TargetId,
        credits: Int,
    ): Int

    /** Discards all credits of [target]. */
    fun removeTarget(target: TargetId)

    /** Returns the targets with unspent credits. */
    fun unspent(): List<CreditedTarget>
}
