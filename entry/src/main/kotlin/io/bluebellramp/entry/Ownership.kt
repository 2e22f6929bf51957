package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ErrorCode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Decides by claims which entry owns a submission: this one admits it, or joins the owner, or ends it for an owner that is gone. No I/O.
 *
 * @param admit takes a submission that this entry owns from now on
 */
internal class Ownership(
    private val table: SubmissionTable,
    private val lease: LeaseKeeper,
    private val dispatcher: Dispatcher,
    private val counters: Counters,
    private val sink: ActionSink,
    private val admit: (Submission) -> Unit,
) {
    /** Takes the verdict on a claim that [Action.Claim] asked for. */
    fun claimed(
        id: SubmissionId,
        result: ClaimResult,
    ) {
        counters.claim(result)
        val submission = table[id] ?: return
        when (submission.phase) {
            SubmissionPhase.CLAIMING -> decide(submission, result)
            SubmissionPhase.FOLLOWING -> takenOver(submission, result)
            SubmissionPhase.OPEN, SubmissionPhase.CLOSING -> reclaimed(submission, result)
            SubmissionPhase.ANSWERED -> Unit
        }
    }

    private fun decide(
        submission: Submission,
        result: ClaimResult,
    ) {
        when (result) {
            is ClaimResult.Held -> follow(submission, result)
            ClaimResult.Granted -> if (lease.isLive(table.now)) admit(submission) else giveUp(submission, ErrorCode.NOT_READY, NOT_READY)
            is ClaimResult.Split -> follow(submission, result.other)
            ClaimResult.Unavailable -> giveUp(submission, ErrorCode.CLAIMS_UNAVAILABLE, CLAIMS_UNAVAILABLE)
        }
    }

    private fun giveUp(
        submission: Submission,
        code: ErrorCode,
        message: String,
    ) {
        sink += Action.Release(submission.id)
        table.refuse(submission, code, message)
    }

    private fun follow(
        submission: Submission,
        held: ClaimResult.Held,
    ) {
        sink += Action.Release(submission.id)
        if (held.digest != submission.new.digest) {
            return table.refuse(submission, ErrorCode.SUBMISSION_CONFLICT, conflictMessage(submission.id))
        }
        submission.phase = SubmissionPhase.FOLLOWING
        table.setOwner(submission, held.holder)
        sink += Action.LogRouting("join", "held by ${held.holder.entry}", submission.id)
        sink += Action.Follow(submission.id, held.holder)
    }

    /** Takes what the owner said, which [Action.Follow] asked for. */
    fun followed(
        id: SubmissionId,
        result: FollowResult,
    ) {
        val submission = table[id]?.takeIf { it.phase == SubmissionPhase.FOLLOWING } ?: return
        val owner = table.owner(submission)
        val isOver = table.now > submission.deadline + ANSWER_GRACE
        when {
            result is FollowResult.Answered -> table.deliver(submission, result.answer)
            submission.isTakingOver && (isOver || result == FollowResult.NotOwner) -> table.deliver(submission, table.ownerLost(submission))
            isOver -> table.refuse(submission, ErrorCode.OWNER_UNREACHABLE, "Entry ${owner.entry} owns it and does not answer.")
            result == FollowResult.NotOwner -> claimAgain(submission)
            lease.absent(owner.incarnation, table.now) > OWNER_WAIT -> takeOver(submission, owner)
            else -> sink += Action.Follow(id, owner)
        }
    }

    private fun claimAgain(submission: Submission) {
        table.setOwner(submission, null)
        submission.phase = SubmissionPhase.CLAIMING
        sink += Action.Claim(submission.id, submission.new.digest)
    }

    private fun takeOver(
        submission: Submission,
        owner: ClaimHolder,
    ) {
        submission.isTakingOver = true
        sink += Action.Claim(submission.id, submission.new.digest, takeover = owner.incarnation)
    }

    private fun takenOver(
        submission: Submission,
        result: ClaimResult,
    ) {
        val owner = table.owner(submission)
        when (result) {
            ClaimResult.Granted -> {
                sink += Action.LogRouting("takeover", "owner ${owner.entry} is gone", submission.id)
                table.deliver(submission, table.ownerLost(submission))
            }

            is ClaimResult.Held -> {
                table.setOwner(submission, result.holder)
                sink += Action.Follow(submission.id, result.holder)
            }

            is ClaimResult.Split -> {
                takenOver(submission, result.other)
            }

            ClaimResult.Unavailable -> {
                sink += Action.Follow(submission.id, owner)
            }
        }
    }

    private fun reclaimed(
        submission: Submission,
        result: ClaimResult,
    ) {
        submission.isReclaiming = false
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
        submission.pending?.let { table.deliver(submission, it) }
    }

    private fun disown(
        submission: Submission,
        holder: ClaimHolder,
    ) {
        sink += Action.LogRouting("disown", "taken over by ${holder.entry}", submission.id)
        submission.phase = SubmissionPhase.CLOSING
        dispatcher.drop(submission)
        table.deliver(submission, table.lost(submission, "The entry ${holder.entry} took it over."))
    }

    /** Notes that the lease ran out: each open submission must be claimed again before it is answered. */
    fun leaseLapsed() =
        table.owned.forEach {
            it.isConfirmed = false
            it.isReclaiming = false
            table.unconfirmed += it
        }

    /** Claims again what must be confirmed. */
    fun reclaim() {
        if (!lease.isLive(table.now)) return
        table.unconfirmed.filter { !it.isReclaiming }.forEach {
            it.isReclaiming = true
            sink += Action.Claim(it.id, it.new.digest)
        }
    }

    private companion object {
        const val NOT_READY = "The entry lost its lease. It started nothing. Send the same id again."
        const val CLAIMS_UNAVAILABLE = "No majority granted the claim. This entry started nothing. Send the same id again."

        /** How long an owner must be missing from the live entries before its submissions are taken over. */
        val OWNER_WAIT = 3.seconds
    }
}

/** How long after its deadline a submission is kept for an answer that needs other processes. */
internal val ANSWER_GRACE: Duration = 5.seconds

internal fun conflictMessage(id: SubmissionId) = "The id $id belongs to another body."
