package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import io.bluebellramp.core.ZoneId
import kotlin.time.Duration

/** What an entry knows of a target that has credits. */
data class CreditedTarget(
    val target: TargetId,
    val zone: ZoneId,
    val credits: Int,
    val running: Int,
)

/**
 * The credits that one entry holds for one service. A task is dispatched only against a credit. No I/O, one thread at a time.
 *
 * Credits of a target die with its connection: call [drop] when it closes or the target leaves.
 */
interface CreditPool {
    /** Adds credits that the agent of [target] granted. */
    fun grant(
        target: TargetId,
        zone: ZoneId,
        credits: Int,
    )

    /** Spends a credit of the target that should run the next task, or returns null if there is none to spend. */
    fun spend(now: Duration): CreditedTarget?

    /** Notes that a task of [target] ended after it [ran] so long; [failed] if the target failed it. */
    fun ended(
        target: TargetId,
        ran: Duration,
        failed: Boolean,
        now: Duration,
    )

    /** Notes that a dispatched task of [target] is proved not to have started. */
    fun notRun(target: TargetId)

    /** Takes up to [credits] unspent credits of [target] out of the pool, for return to its agent, and tells how many. */
    fun withdraw(
        target: TargetId,
        credits: Int,
    ): Int

    /** Forgets the credits of [target]. */
    fun drop(target: TargetId)

    /** Unspent credits by target. */
    fun unspent(): List<CreditedTarget>
}
