package io.bluebellramp.entry

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.messages.ClaimVerdict

/**
 * Counts the verdicts of the voting members on one claim.
 *
 * A majority of grants makes the claimant the owner. Once that is impossible, the claimant with the greater incarnation yields
 * to a holder that was seen, so two entries never block each other for ever.
 *
 * @param voters number of voting members
 */
internal class ClaimTally(
    private val voters: Int,
    private val self: IncarnationId,
) {
    private val majority = voters / 2 + 1
    private var granted = 0
    private var silent = 0
    private val refusals = ArrayList<ClaimVerdict>()

    /** Counts the verdict of one member. Null stands for a member that abstains, counts in another version or does not answer. */
    fun add(verdict: ClaimVerdict?) {
        when {
            verdict == null -> silent++
            verdict.granted -> granted++
            verdict.holder == null -> silent++
            else -> refusals += verdict
        }
    }

    /** Returns the result once it is certain, or null. */
    fun result(): ClaimResult? {
        if (granted >= majority) return ClaimResult.Granted
        val open = voters - granted - silent - refusals.size
        if (granted + open >= majority) return null
        ownerByMajority()?.let { return it }
        if (open > 0) return null
        return withoutMajority()
    }

    private fun ownerByMajority() = refusals.firstOrNull { seen(it) >= majority }?.let(::held)

    private fun withoutMajority(): ClaimResult {
        val first = refusals.minByOrNull { it.holder!!.incarnation.value } ?: return ClaimResult.Unavailable
        val yields = granted == 0 || self.value > first.holder!!.incarnation.value
        return if (yields) held(first) else ClaimResult.Split(held(first))
    }

    private fun seen(verdict: ClaimVerdict) = refusals.count { it.holder!!.incarnation == verdict.holder!!.incarnation }

    private fun held(verdict: ClaimVerdict) = ClaimResult.Held(holder = verdict.holder!!, digest = verdict.digest.orEmpty())
}
