package io.bluebellramp.entry

import io.bluebellramp.core.IncarnationId
import io.bluebellramp.messages.ClaimVerdict

/**
 * Counts the verdicts of the voting members on one claim.
 *
 * A majority of grants makes the claimant the owner. Once no majority is possible, the claimant with the greater incarnation yields to
 * the other holder, so that two entries never block each other permanently.
 *
 * @param voters number of voting members
 */
internal class ClaimTally(
    private val voters: Int,
    private val self: IncarnationId,
) {
    private val majority = voters / 2 + 1
    private var granted = 0
    private var abstentions = 0
    private val refusals = ArrayList<ClaimVerdict>()

    /** Adds the verdict of one member. Null means that it abstains, has another membership version or does not answer. */
    fun add(verdict: ClaimVerdict?) {
        when {
            verdict == null -> abstentions++
            verdict.granted -> granted++
            verdict.holder == null -> abstentions++
            else -> refusals += verdict
        }
    }

    /** Returns the result once no further verdict can change it, else null. */
    fun result(): ClaimResult? {
        if (granted >= majority) return ClaimResult.Granted
        val outstanding = voters - granted - abstentions - refusals.size
        if (granted + outstanding >= majority) return null
        ownerByMajority()?.let { return it }
        if (outstanding > 0) return null
        return resultWithoutMajority()
    }

    private fun ownerByMajority() = refusals.firstOrNull { countSameHolder(it) >= majority }?.let(::toHeld)

    private fun resultWithoutMajority(): ClaimResult {
        val earliest = refusals.minByOrNull { it.holder!!.incarnation.value } ?: return ClaimResult.Unavailable
        val yields = granted == 0 || self.value > earliest.holder!!.incarnation.value
        return if (yields) toHeld(earliest) else ClaimResult.Split(toHeld(earliest))
    }

    private fun countSameHolder(verdict: ClaimVerdict) = refusals.count { it.holder!!.incarnation == verdict.holder!!.incarnation }

    private fun toHeld(verdict: ClaimVerdict) = ClaimResult.Held(holder = verdict.holder!!, digest = verdict.digest.orEmpty())
}
