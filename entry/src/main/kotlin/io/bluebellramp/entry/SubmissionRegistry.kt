package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import java.util.PriorityQueue
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Owns submissions from their arrival to the final answer. No I/O. */
internal class SubmissionRegistry(
    private val lease: LeaseKeeper,
    private val dispatcher: Dispatcher,
    private val admission: Admission,
    private val counters: Counters,
    private val sink: ActionSink,
) : SubmissionListener {
    private val submissions = LinkedHashMap<SubmissionId, Submission>()
    private val owners = HashMap<SubmissionId, ClaimHolder>()
    private val deadlines = PriorityQueue<Submission>(compareBy { it.deadline })
    private val kept = KeptAnswers(life = KEEP_LIFE)
    private var now = Duration.ZERO

    /** True once new work is refused because the process ends. */
    var isLeaving = false

    /** True if no submission is without its answer. */
    val isIdle get() = submissions.isEmpty()

    /** Submissions without an answer. */
    val size get() = submissions.size

    /** Takes a submission of a caller. Returns a reply at once, or null if it follows as [Action.Deliver]. */
    fun submit(new: NewSubmission): Reply? {
        kept[new.id]?.let { return if (it.digest == new.digest) Reply.Whole(it.answer) else conflict(new.id) }
        submissions[new.id]?.let { return if (it.new.digest == new.digest) null else conflict(new.id) }
        val service = lease.service(new.service)
        if (!lease.isLive(now) || service == null) return notReady()
        val millis = new.deadlineMillis ?: service.deadlineMillis
        val submission = Submission(new = new, arrived = now, deadline = now + millis.milliseconds)
        if (isLeaving) submission.refusal = ErrorBody(ErrorCode.LEAVING, "The entry is shutting down.")
        submissions[new.id] = submission
        deadlines += submission
        sink += Action.Claim(new.id, new.digest)
        return null
    }

    /** Returns why [new] can't be taken with the configuration of now, or null. */
    fun limits(new: NewSubmission): ErrorBody? {
        if (!lease.isLive(now)) return null
        val service = lease.service(new.service) ?: return ErrorBody(ErrorCode.UNKNOWN_SERVICE, "There is no service ${new.service}.")
        return limitError(new, service)
    }

    /** Returns the reply to a call for [id] if there is one now, and whether the id is known. */
    fun lookup(id: SubmissionId): Lookup =
        when {
            kept[id] != null -> Lookup.Answered(kept[id]!!.answer)
            submissions[id]?.isTakingOver == true -> Lookup.Lost(ownerLost(submissions.getValue(id)))
            id in submissions -> Lookup.Pending(isFollowing = id in owners)
            else -> Lookup.Unknown
        }

    /** Gives up a claim on [id] that arrived late at a member, if this entry does not know the id. */
    fun releaseUnknown(id: SubmissionId) {
        if (lookup(id) == Lookup.Unknown) sink += Action.Release(id)
    }

    /** Ends [id] as soon as that can be done truthfully. Returns false if it is not known. */
    fun cancel(id: SubmissionId): Boolean {
        if (kept[id] != null) return true
        val submission = submissions[id] ?: return false
        val error = ErrorBody(ErrorCode.CANCELLED, "The submission was cancelled.")
        when (submission.phase) {
            SubmissionPhase.CLAIMING -> submission.refusal = error
            SubmissionPhase.FOLLOWING -> owners[id]?.let { sink += Action.CancelAtOwner(id, it) }
            SubmissionPhase.OPEN -> close(submission, error)
            SubmissionPhase.CLOSING, SubmissionPhase.ANSWERED -> Unit
        }
        return true
    }

    /** Takes the verdict on a claim that [Action.Claim] asked for. */
    fun claimed(
        id: SubmissionId,
        result: ClaimResult,
    ) {
        counters.claim(result)
        val submission = submissions[id] ?: return
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
            ClaimResult.Granted -> if (lease.isLive(now)) admit(submission) else giveUp(submission, notReady())
            is ClaimResult.Split -> follow(submission, result.other)
            ClaimResult.Unavailable -> giveUp(submission, claimsUnavailable())
        }
    }

    private fun admit(submission: Submission) {
        val refusal = submission.refusal ?: admission.refusal(submission, now)
        submission.phase = SubmissionPhase.OPEN
        if (refusal != null) {
            counters.refusal(refusal.code)
            sink += Action.LogRouting("refuse", refusal.code.name.lowercase(), submission.id)
            close(submission, refusal)
            return
        }
        sink += Action.LogRouting("admit", "claim granted", submission.id)
        dispatcher.enqueue(submission)
    }

    private fun giveUp(
        submission: Submission,
        reply: Reply.Refused,
    ) {
        sink += Action.Release(submission.id)
        forget(submission)
        refuse(submission.id, reply)
    }

    private fun follow(
        submission: Submission,
        held: ClaimResult.Held,
    ) {
        sink += Action.Release(submission.id)
        if (held.digest != submission.new.digest) {
            forget(submission)
            refuse(submission.id, conflict(submission.id))
            return
        }
        submission.phase = SubmissionPhase.FOLLOWING
        owners[submission.id] = held.holder
        sink += Action.LogRouting("join", "held by ${held.holder.entry}", submission.id)
        sink += Action.Follow(submission.id, held.holder)
    }

    /** Takes what the owner said, which [Action.Follow] asked for. */
    fun followed(
        id: SubmissionId,
        result: FollowResult,
    ) {
        val submission = submissions[id]?.takeIf { it.phase == SubmissionPhase.FOLLOWING } ?: return
        val owner = owners.getValue(id)
        val isOver = now > submission.deadline + GRACE
        when {
            result is FollowResult.Answered -> deliver(submission, result.answer)
            submission.isTakingOver && (isOver || result == FollowResult.NotOwner) -> deliver(submission, ownerLost(submission))
            isOver -> refuseUnreachable(submission, owner)
            result == FollowResult.NotOwner -> claimAgain(submission)
            lease.absent(owner.incarnation, now) > OWNER_WAIT -> takeOver(submission, owner)
            else -> sink += Action.Follow(id, owner)
        }
    }

    private fun refuseUnreachable(
        submission: Submission,
        owner: ClaimHolder,
    ) {
        forget(submission)
        refuse(submission.id, Reply.Refused(ErrorBody(ErrorCode.OWNER_UNREACHABLE, "Entry ${owner.entry} owns it and does not answer.")))
    }

    private fun claimAgain(submission: Submission) {
        owners.remove(submission.id)
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

    private fun ownerLost(submission: Submission) = lost(submission, "The entry ${owners[submission.id]?.entry} that owned it is gone.")

    private fun takenOver(
        submission: Submission,
        result: ClaimResult,
    ) {
        val owner = owners.getValue(submission.id)
        when (result) {
            ClaimResult.Granted -> {
                sink += Action.LogRouting("takeover", "owner ${owner.entry} is gone", submission.id)
                deliver(submission, ownerLost(submission))
            }

            is ClaimResult.Held -> {
                owners[submission.id] = result.holder
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
        if (!lease.isLive(now)) return
        submission.isConfirmed = true
        submission.pending?.let { deliver(submission, it) }
    }

    private fun disown(
        submission: Submission,
        holder: ClaimHolder,
    ) {
        sink += Action.LogRouting("disown", "taken over by ${holder.entry}", submission.id)
        submission.phase = SubmissionPhase.CLOSING
        dispatcher.drop(submission)
        deliver(submission, lost(submission, "The entry ${holder.entry} took it over."))
    }

    /** Notes that the lease ran out: each open submission must be claimed again before it is answered. */
    fun leaseLapsed() {
        owned().forEach {
            it.isConfirmed = false
            it.isReclaiming = false
        }
    }

    private fun owned() = submissions.values.filter { it.phase == SubmissionPhase.OPEN || it.phase == SubmissionPhase.CLOSING }

    /** Sets the time and does what is due. */
    fun advance(now: Duration) {
        this.now = now
        while (deadlines.isNotEmpty() && deadlines.peek().deadline <= now) expire(deadlines.poll())
    }

    private fun expire(submission: Submission) {
        val error = ErrorBody(ErrorCode.DEADLINE_PASSED, "The deadline passed.")
        when (submission.phase) {
            SubmissionPhase.CLAIMING -> submission.refusal = submission.refusal ?: error
            SubmissionPhase.OPEN -> close(submission, error)
            else -> Unit
        }
    }

    /** Does what needs no precise time: claims again, and bounds how long attempts are waited for. */
    fun tick() {
        val open = owned()
        if (lease.isLive(now)) open.filter { !it.isConfirmed && !it.isReclaiming }.forEach(::reclaim)
        open.filter { isDue(it, INQUIRY_WAIT) && !it.isInquired }.forEach { inquire(it) }
        open.filter { isDue(it, SETTLE_WAIT) }.forEach { answer(it) }
        open.filter { !it.isConfirmed && now > it.deadline + GRACE }.forEach { deliver(it, lost(it, "The claim could not be confirmed.")) }
    }

    private fun isDue(
        submission: Submission,
        wait: Duration,
    ) = submission.phase == SubmissionPhase.CLOSING && submission.pending == null && now - submission.closingSince > wait

    /** An agent lets a cancelled attempt that has started run on, and says that it has started only when asked. */
    private fun inquire(submission: Submission) {
        submission.isInquired = true
        dispatcher.inquire(submission)
    }

    private fun reclaim(submission: Submission) {
        submission.isReclaiming = true
        sink += Action.Claim(submission.id, submission.new.digest)
    }

    private fun close(
        submission: Submission,
        error: ErrorBody,
    ) {
        submission.phase = SubmissionPhase.CLOSING
        submission.closing = error
        submission.closingSince = now
        dispatcher.drop(submission)
        settled(submission)
    }

    override fun completed(submission: Submission) = finish(submission, complete(submission))

    override fun failed(
        submission: Submission,
        error: ErrorBody,
    ) = close(submission, error)

    override fun settled(submission: Submission) {
        val isFinal = submission.isSettled || submission.outstanding.isEmpty()
        if (submission.pending == null && isFinal) answer(submission)
    }

    private fun answer(submission: Submission) {
        if (submission.isComplete) return finish(submission, complete(submission))
        val started = submission.startedTasks
        val outcome = if (started == 0) AnswerOutcome.NOT_RUN else AnswerOutcome.FAILED
        finish(
            submission,
            Answer(submission = submission.id, outcome = outcome, startedTasks = started, error = submission.closing),
        )
    }

    private fun complete(submission: Submission) =
        Answer(
            submission = submission.id,
            outcome = AnswerOutcome.COMPLETE,
            results = submission.taskResults(),
            startedTasks = submission.size,
        )

    private fun lost(
        submission: Submission,
        message: String,
    ) = Answer(submission = submission.id, outcome = AnswerOutcome.FAILED, error = ErrorBody(ErrorCode.OWNER_LOST, message))

    private fun finish(
        submission: Submission,
        answer: Answer,
    ) {
        submission.phase = SubmissionPhase.CLOSING
        val timed = answer.copy(elapsedMillis = (now - submission.arrived).toDouble(DurationUnit.MILLISECONDS))
        if (submission.isConfirmed && lease.isLive(now)) deliver(submission, timed) else submission.pending = timed
    }

    private fun deliver(
        submission: Submission,
        answer: Answer,
    ) {
        dispatcher.drop(submission)
        forget(submission)
        kept.add(submission.new.digest, answer, now)
        counters.answer(answer.outcome)
        sink += Action.Deliver(submission.id, Reply.Whole(answer))
    }

    private fun forget(submission: Submission) {
        submission.phase = SubmissionPhase.ANSWERED
        submissions.remove(submission.id)
        owners.remove(submission.id)
    }

    private fun refuse(
        id: SubmissionId,
        reply: Reply.Refused,
    ) {
        counters.refusal(reply.error.code)
        sink +=
            Action.LogRouting(
                "refuse",
                reply.error.code.name
                    .lowercase(),
                id,
            )
        sink += Action.Deliver(id, reply)
    }

    private fun conflict(id: SubmissionId) = Reply.Refused(ErrorBody(ErrorCode.SUBMISSION_CONFLICT, "The id $id belongs to another body."))

    private fun notReady() =
        Reply.Refused(ErrorBody(ErrorCode.NOT_READY, "The entry has no lease. It started nothing. Send the same id again."))

    private fun claimsUnavailable() =
        Reply.Refused(
            ErrorBody(ErrorCode.CLAIMS_UNAVAILABLE, "No majority granted the claim. This entry started nothing. Send the same id again."),
        )

    private companion object {
        /** Longest life of an id, with a margin for clocks that differ. */
        val KEEP_LIFE = 12.minutes

        /** How long an owner must be missing from the live entries before its submissions are taken over. */
        val OWNER_WAIT = 3.seconds

        /** How long outcomes are waited for before the agents are asked. */
        val INQUIRY_WAIT = 20.milliseconds

        /** How long the outcomes of cancelled attempts are waited for. */
        val SETTLE_WAIT = 1.seconds

        /** How long after its deadline a submission is kept for an answer that needs other processes. */
        val GRACE = 5.seconds
    }
}
