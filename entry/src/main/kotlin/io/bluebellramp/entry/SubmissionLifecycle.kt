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

/** Manages submissions from their arrival to the final answer. No I/O. */
internal class SubmissionLifecycle(
    private val table: SubmissionTable,
    private val lease: LeaseState,
    private val dispatcher: Dispatcher,
    private val admission: AdmissionControl,
    private val counters: EntryCounters,
    private val actions: ActionBuffer,
    private val budget: MemoryBudget,
) : SubmissionListener {
    /** Decides which entry owns a submission. */
    val ownership = OwnershipResolver(table, lease, dispatcher, counters, actions, admit = ::admit)

    /**
     * True once new submissions are refused because of the shutdown. They are not claimed, so that any other entry may accept them at
     * once.
     */
    var isShuttingDown = false

    /** Accepts a submission of a caller. Returns the reply, or null if it will follow as [Action.Deliver]. */
    fun submit(spec: SubmissionSpec): Reply? {
        table.cachedAnswer(spec.id)?.let { return if (it.digest == spec.digest) Reply.Answered(it.answer) else conflict(spec.id) }
        table[spec.id]?.let { return if (it.spec.digest == spec.digest) null else conflict(spec.id) }
        if (isShuttingDown) return refuseForShutdown(spec.id)
        val service = lease.service(spec.service)
        if (!lease.isLive(table.now) || service == null) return Reply.Refused(ErrorBody(ErrorCode.NOT_READY, NOT_READY))
        val millis = spec.deadlineMillis ?: service.deadlineMillis
        val submission = Submission(spec = spec, arrived = table.now, deadline = table.now + millis.milliseconds, budget = budget)
        table.add(submission)
        actions += Action.Claim(spec.id, spec.digest)
        return null
    }

    private fun refuseForShutdown(id: SubmissionId): Reply {
        counters.countRefusal(ErrorCode.LEAVING)
        actions += Action.LogSubmissionDecision("refuse", "leaving", id)
        return Reply.Refused(ErrorBody(ErrorCode.LEAVING, SHUTTING_DOWN))
    }

    private fun conflict(id: SubmissionId) = Reply.Refused(ErrorBody(ErrorCode.SUBMISSION_CONFLICT, conflictMessage(id)))

    /** Returns why [spec] can't be accepted with the current configuration, or null. */
    fun checkLimits(spec: SubmissionSpec): ErrorBody? {
        if (!lease.isLive(table.now)) return null
        val service = lease.service(spec.service) ?: return ErrorBody(ErrorCode.UNKNOWN_SERVICE, "There is no service ${spec.service}.")
        return limitError(spec, service)
    }

    /** Releases a claim on [id] that reached a member late, if this entry does not know the id. */
    fun releaseUnknown(id: SubmissionId) {
        if (table.lookup(id) == LookupResult.Unknown) actions += Action.Release(id)
    }

    /** Cancels [id]. The answer follows once it is known which tasks started. Returns false if the id is unknown. */
    fun cancel(id: SubmissionId): Boolean {
        if (table.cachedAnswer(id) != null) return true
        val submission = table[id] ?: return false
        val error = ErrorBody(ErrorCode.CANCELLED, "The submission was cancelled.")
        when (submission.phase) {
            SubmissionPhase.CLAIMING -> submission.earlyRefusal = error
            SubmissionPhase.AWAITING_OWNER -> actions += Action.CancelAtOwner(id, table.owner(submission))
            SubmissionPhase.OPEN -> close(submission, error)
            SubmissionPhase.CLOSING, SubmissionPhase.ANSWERED -> Unit
        }
        return true
    }

    private fun admit(submission: Submission) {
        val refusal = submission.earlyRefusal ?: admission.refusal(submission, table.now)
        submission.phase = SubmissionPhase.OPEN
        if (refusal != null) {
            counters.countRefusal(refusal.code)
            actions += Action.LogSubmissionDecision("refuse", refusal.code.name.lowercase(), submission.id)
            close(submission, refusal)
            return
        }
        actions += Action.LogSubmissionDecision("admit", "claim granted", submission.id)
        dispatcher.enqueue(submission)
    }

    /** Sets the current time and ends the submissions whose deadline has passed. */
    fun advance(now: Duration) {
        table.now = now
        while (true) expire(table.takeExpired() ?: return)
    }

    private fun expire(submission: Submission) {
        val error = ErrorBody(ErrorCode.DEADLINE_PASSED, "The deadline passed.")
        when (submission.phase) {
            SubmissionPhase.CLAIMING -> submission.earlyRefusal = submission.earlyRefusal ?: error
            SubmissionPhase.OPEN -> close(submission, error)
            else -> Unit
        }
    }

    /** Confirms claims again and limits how long outcomes are waited for. This work does not need exact timing. */
    fun tick() {
        ownership.reconfirmClaims()
        table.closing.filter { hasWaited(it, INQUIRY_DELAY) && !it.hasInquired }.forEach { inquire(it) }
        table.closing.filter { hasWaited(it, SETTLE_TIMEOUT) }.forEach { answer(it) }
        table.unconfirmed.filter { table.now > it.deadline + ANSWER_GRACE }.forEach { failUnconfirmed(it) }
    }

    private fun hasWaited(
        submission: Submission,
        wait: Duration,
    ) = submission.unconfirmedAnswer == null && table.now - submission.closingSince > wait

    /** Asks the agents whether cancelled attempts have started. An agent lets a started attempt continue and reports it only when asked. */
    private fun inquire(submission: Submission) {
        submission.hasInquired = true
        dispatcher.inquire(submission)
    }

    private fun failUnconfirmed(submission: Submission) {
        dispatcher.cancelAll(submission)
        table.deliver(submission, table.lostAnswer(submission, "The claim could not be confirmed."))
    }

    private fun close(
        submission: Submission,
        error: ErrorBody,
    ) {
        submission.phase = SubmissionPhase.CLOSING
        submission.closeReason = error
        submission.closingSince = table.now
        table.closing += submission
        dispatcher.cancelAll(submission)
        settled(submission)
    }

    override fun completed(submission: Submission) = finish(submission, completeAnswer(submission))

    override fun failed(
        submission: Submission,
        error: ErrorBody,
    ) = close(submission, error)

    override fun settled(submission: Submission) {
        val isFinal = submission.isSettled || submission.outstandingAttempts.isEmpty()
        if (submission.unconfirmedAnswer == null && isFinal) answer(submission)
    }

    private fun answer(submission: Submission) {
        if (submission.isComplete) return finish(submission, completeAnswer(submission))
        val started = submission.startedTasks
        val outcome = if (started == 0) AnswerOutcome.NOT_RUN else AnswerOutcome.FAILED
        finish(
            submission,
            Answer(submission = submission.id, outcome = outcome, startedTasks = started, error = submission.closeReason),
        )
    }

    private fun completeAnswer(submission: Submission) =
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
        if (submission.isConfirmed && lease.isLive(table.now)) table.deliver(submission, timed) else submission.unconfirmedAnswer = timed
    }

    private companion object {
        const val NOT_READY = "The entry has no lease. It started nothing. Send the same id again."
        const val SHUTTING_DOWN = "The entry is shutting down. It started nothing. Send the same id to another entry."

        /** How long outcomes are waited for before the agents are asked. */
        val INQUIRY_DELAY = 20.milliseconds

        /** How long the outcomes of cancelled attempts are waited for. */
        val SETTLE_TIMEOUT = 1.seconds
    }
}
