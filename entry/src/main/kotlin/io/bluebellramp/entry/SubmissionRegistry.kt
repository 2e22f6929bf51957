package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Takes submissions from their arrival to the final answer. No I/O. */
internal class SubmissionRegistry(
    private val table: SubmissionTable,
    private val lease: LeaseKeeper,
    private val dispatcher: Dispatcher,
    private val admission: Admission,
    private val counters: Counters,
    private val sink: ActionSink,
    private val budget: MemoryBudget,
) : SubmissionListener {
    /** The claims on the submissions. */
    val ownership = Ownership(table, lease, dispatcher, counters, sink, admit = ::admit)

    /** True once new work is refused because the process ends. It is refused without a claim, so that any other entry may take it at once. */
    var isLeaving = false

    /** Takes a submission of a caller. Returns a reply at once, or null if it follows as [Action.Deliver]. */
    fun submit(new: NewSubmission): Reply? {
        table.kept(new.id)?.let { return if (it.digest == new.digest) Reply.Whole(it.answer) else conflict(new.id) }
        table[new.id]?.let { return if (it.new.digest == new.digest) null else conflict(new.id) }
        if (isLeaving) return refuseLeaving(new.id)
        val service = lease.service(new.service)
        if (!lease.isLive(table.now) || service == null) return Reply.Refused(ErrorBody(ErrorCode.NOT_READY, NOT_READY))
        val millis = new.deadlineMillis ?: service.deadlineMillis
        val submission = Submission(new = new, arrived = table.now, deadline = table.now + millis.milliseconds, budget = budget)
        table.add(submission)
        sink += Action.Claim(new.id, new.digest)
        return null
    }

    private fun refuseLeaving(id: SubmissionId): Reply {
        counters.refusal(ErrorCode.LEAVING)
        sink += Action.LogRouting("refuse", "leaving", id)
        return Reply.Refused(ErrorBody(ErrorCode.LEAVING, LEAVING))
    }

    private fun conflict(id: SubmissionId) = Reply.Refused(ErrorBody(ErrorCode.SUBMISSION_CONFLICT, conflictMessage(id)))

    /** Returns why [new] can't be taken with the configuration of now, or null. */
    fun limits(new: NewSubmission): ErrorBody? {
        if (!lease.isLive(table.now)) return null
        val service = lease.service(new.service) ?: return ErrorBody(ErrorCode.UNKNOWN_SERVICE, "There is no service ${new.service}.")
        return limitError(new, service)
    }

    /** Gives up a claim on [id] that arrived late at a member, if this entry does not know the id. */
    fun releaseUnknown(id: SubmissionId) {
        if (table.lookup(id) == Lookup.Unknown) sink += Action.Release(id)
    }

    /** Ends [id] as soon as that can be done truthfully. Returns false if it is not known. */
    fun cancel(id: SubmissionId): Boolean {
        if (table.kept(id) != null) return true
        val submission = table[id] ?: return false
        val error = ErrorBody(ErrorCode.CANCELLED, "The submission was cancelled.")
        when (submission.phase) {
            SubmissionPhase.CLAIMING -> submission.refusal = error
            SubmissionPhase.FOLLOWING -> sink += Action.CancelAtOwner(id, table.owner(submission))
            SubmissionPhase.OPEN -> close(submission, error)
            SubmissionPhase.CLOSING, SubmissionPhase.ANSWERED -> Unit
        }
        return true
    }

    private fun admit(submission: Submission) {
        val refusal = submission.refusal ?: admission.refusal(submission, table.now)
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

    /** Sets the time and ends what is past its deadline. */
    fun advance(now: Duration) {
        table.now = now
        while (true) expire(table.takeDue() ?: return)
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
        ownership.reclaim()
        table.closing.filter { isDue(it, INQUIRY_WAIT) && !it.isInquired }.forEach { inquire(it) }
        table.closing.filter { isDue(it, SETTLE_WAIT) }.forEach { answer(it) }
        table.unconfirmed.filter { table.now > it.deadline + ANSWER_GRACE }.forEach { loseClaim(it) }
    }

    private fun isDue(
        submission: Submission,
        wait: Duration,
    ) = submission.pending == null && table.now - submission.closingSince > wait

    /** An agent lets a cancelled attempt that has started run on, and says that it has started only when asked. */
    private fun inquire(submission: Submission) {
        submission.isInquired = true
        dispatcher.inquire(submission)
    }

    private fun loseClaim(submission: Submission) {
        dispatcher.drop(submission)
        table.deliver(submission, table.lost(submission, "The claim could not be confirmed."))
    }

    private fun close(
        submission: Submission,
        error: ErrorBody,
    ) {
        submission.phase = SubmissionPhase.CLOSING
        submission.closing = error
        submission.closingSince = table.now
        table.closing += submission
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

    private fun finish(
        submission: Submission,
        answer: Answer,
    ) {
        submission.phase = SubmissionPhase.CLOSING
        val timed = answer.copy(elapsedMillis = (table.now - submission.arrived).toDouble(DurationUnit.MILLISECONDS))
        if (submission.isConfirmed && lease.isLive(table.now)) table.deliver(submission, timed) else submission.pending = timed
    }

    private companion object {
        const val NOT_READY = "The entry has no lease. It started nothing. Send the same id again."
        const val LEAVING = "The entry is shutting down. It started nothing. Send the same id to another entry."

        /** How long outcomes are waited for before the agents are asked. */
        val INQUIRY_WAIT = 20.milliseconds

        /** How long the outcomes of cancelled attempts are waited for. */
        val SETTLE_WAIT = 1.seconds
    }
}
