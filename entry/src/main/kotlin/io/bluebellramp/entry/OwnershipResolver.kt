package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ErrorCode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Determines by claims which entry owns a submission. If this entry does, the submission is admitted. Otherwise this entry waits for the
 * answer of the owner, and takes the submission over to end it if the owner is gone. No I/O.
 *
 * @param admit is called with a submission that this entry owns from now on
 */
internal class OwnershipResolver(
    private val table: SubmissionTable,
    private val lease: LeaseState,
    private val dispatcher: Dispatcher,
    private val counters: EntryCounters,
    private val actions: ActionBuffer,
    private val admit: (Submission) -> Unit,
) {
    /** Processes the result of [Action.Claim]. */
    fun onClaimResult(
        id: SubmissionId,
        result: ClaimResult,
    ) {
        counters.countClaim(result)
        val submission = table[id] ?: return
        when (submission.phase) {
            SubmissionPhase.CLAIMING -> onFirstClaimResult(submission, result)
            SubmissionPhase.AWAITING_OWNER -> onTakeoverResult(submission, result)
            SubmissionPhase.OPEN, SubmissionPhase.CLOSING -> onReconfirmResult(submission, result)
            SubmissionPhase.ANSWERED -> Unit
        }
    }

    private fun onFirstClaimResult(
        submission: Submission,
        result: ClaimResult,
    ) {
        when (result) {
            is ClaimResult.Held -> waitForOwner(submission, result)
            ClaimResult.Granted -> if (lease.isLive(table.now)) admit(submission) else abandon(submission, ErrorCode.NOT_READY, NOT_READY)
            is ClaimResult.Split -> waitForOwner(submission, result.other)
            ClaimResult.Unavailable -> abandon(submission, ErrorCode.CLAIMS_UNAVAILABLE, CLAIMS_UNAVAILABLE)
        }
    }

    private fun abandon(
        submission: Submission,
        code: ErrorCode,
        message: String,
    ) {
        actions += Action.Release(submission.id)
        table.refuse(submission, code, message)
    }

    private fun waitForOwner(
        submission: Submission,
        held: ClaimResult.Held,
    ) {
        actions += Action.Release(submission.id)
        if (held.digest != submission.spec.digest) {
            return table.refuse(submission, ErrorCode.SUBMISSION_CONFLICT, conflictMessage(submission.id))
        }
        submission.phase = SubmissionPhase.AWAITING_OWNER
        table.setOwner(submission, held.holder)
        actions += Action.LogSubmissionDecision("join", "held by ${held.holder.entry}", submission.id)
        actions += Action.QueryOwner(submission.id, held.holder)
    }

    /** Processes the reply to [Action.QueryOwner]. */
    fun onOwnerReply(
        id: SubmissionId,
        result: OwnerReply,
    ) {
        val submission = table[id]?.takeIf { it.phase == SubmissionPhase.AWAITING_OWNER } ?: return
        val owner = table.owner(submission)
        val isLate = table.now > submission.deadline + ANSWER_GRACE
        when {
            result is OwnerReply.Answered -> table.deliver(submission, result.answer)
            submission.isTakingOver && (isLate || result == OwnerReply.NotOwner) -> table.deliver(submission, table.ownerLost(submission))
            isLate -> table.refuse(submission, ErrorCode.OWNER_UNREACHABLE, "Entry ${owner.entry} owns it and does not answer.")
            result == OwnerReply.NotOwner -> claimAgain(submission)
            lease.absenceOf(owner.incarnation, table.now) > TAKEOVER_DELAY -> takeOver(submission, owner)
            else -> actions += Action.QueryOwner(id, owner)
        }
    }

    private fun claimAgain(submission: Submission) {
        table.setOwner(submission, null)
        submission.phase = SubmissionPhase.CLAIMING
        actions += Action.Claim(submission.id, submission.spec.digest)
    }

    private fun takeOver(
        submission: Submission,
        owner: ClaimHolder,
    ) {
        submission.isTakingOver = true
        actions += Action.Claim(submission.id, submission.spec.digest, takeover = owner.incarnation)
    }

    private fun onTakeoverResult(
        submission: Submission,
        result: ClaimResult,
    ) {
        val owner = table.owner(submission)
        when (result) {
            ClaimResult.Granted -> {
                actions += Action.LogSubmissionDecision("takeover", "owner ${owner.entry} is gone", submission.id)
                table.deliver(submission, table.ownerLost(submission))
            }

            is ClaimResult.Held -> {
                table.setOwner(submission, result.holder)
                actions += Action.QueryOwner(submission.id, result.holder)
            }

            is ClaimResult.Split -> {
                onTakeoverResult(submission, result.other)
            }

            ClaimResult.Unavailable -> {
                actions += Action.QueryOwner(submission.id, owner)
            }
        }
    }

    private fun onReconfirmResult(
        submission: Submission,
        result: ClaimResult,
    ) {
        submission.isReconfirming = false
        when (result) {
            ClaimResult.Granted -> confirm(submission)
            is ClaimResult.Held -> disown(submission, result.holder)
            is ClaimResult.Split, ClaimResult.Unavailable -> Unit
        }
    }

    private fun confirm(submission: Submission) {
        if (!lease.isLive(table.now)) return
        submission.isConfirmed = true
        table.unconfirmed -= submission
        submission.unconfirmedAnswer?.let { table.deliver(submission, it) }
    }

    private fun disown(
        submission: Submission,
        holder: ClaimHolder,
    ) {
        actions += Action.LogSubmissionDecision("disown", "taken over by ${holder.entry}", submission.id)
        submission.phase = SubmissionPhase.CLOSING
        dispatcher.cancelAll(submission)
        table.deliver(submission, table.lostAnswer(submission, "The entry ${holder.entry} took it over."))
    }

    /** Handles the expiry of the lease: every open submission must be claimed again before it is answered. */
    fun onLeaseExpired() =
        table.owned.forEach {
            it.isConfirmed = false
            it.isReconfirming = false
            table.unconfirmed += it
        }

    /** Claims again the submissions whose ownership must be confirmed. */
    fun reconfirmClaims() {
        if (!lease.isLive(table.now)) return
        table.unconfirmed.filter { !it.isReconfirming }.forEach {
            it.isReconfirming = true
            actions += Action.Claim(it.id, it.spec.digest)
        }
    }

    private companion object {
        const val NOT_READY = "The entry lost its lease. It started nothing. Send the same id again."
        const val CLAIMS_UNAVAILABLE = "No majority granted the claim. This entry started nothing. Send the same id again."

        /** How long an owner must be missing from the live entries before its submissions are taken over. */
        val TAKEOVER_DELAY = 3.seconds
    }
}

/** How long after its deadline a submission is kept while its answer depends on other processes. */
internal val ANSWER_GRACE: Duration = 5.seconds

internal fun conflictMessage(id: SubmissionId) = "The id $id belongs to another body."
