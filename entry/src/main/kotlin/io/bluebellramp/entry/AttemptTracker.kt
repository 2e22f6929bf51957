package io.bluebellramp.entry

import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskStatus
import kotlin.time.Duration.Companion.microseconds

/**
 * Processes the outcomes of attempts. A task is attempted again only if its last attempt is known not to have started, or if the task is
 * idempotent. No I/O.
 */
internal class AttemptTracker(
    private val dispatcher: Dispatcher,
    private val services: ServiceTable,
    private val teams: TeamUsage,
    private val counters: EntryCounters,
) : AgentListener {
    lateinit var listener: SubmissionListener

    /** Processes an outcome that [session] reported. An outcome of an unknown attempt is dropped and counted. */
    fun onOutcome(
        session: AgentSession,
        outcome: TaskOutcome,
    ) {
        session.receivedCount++
        counters.countOutcome(outcome.status)
        val key = AttemptKey(outcome.submission, outcome.task, outcome.attempt)
        val attempt = session.unresolvedAttempts[key]
        if (attempt == null || !attempt.isSent) {
            counters.countWasted(WastedMessage.DUPLICATE_ANSWER)
            return
        }
        val submission = attempt.submission
        if (outcome.status == TaskStatus.RUNNING) {
            submission.markStarted(attempt.task)
            if (submission.phase == SubmissionPhase.CLOSING) listener.settled(submission)
            return
        }
        session.unresolvedAttempts.remove(key)
        updateCreditPool(attempt, outcome)
        if (submission.outstandingAttempts[attempt.task] !== attempt) {
            counters.countWasted(WastedMessage.DUPLICATE_ANSWER)
            return
        }
        submission.outstandingAttempts.remove(attempt.task)
        settle(attempt, outcome)
    }

    private fun updateCreditPool(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val pool = services.queueFor(attempt.submission).pool
        when (outcome.status) {
            TaskStatus.NOT_RUN -> {
                counters.countWasted(WastedMessage.REFUSAL)
                pool.taskNotStarted(attempt.target)
            }

            else -> {
                pool.taskEnded(
                    target = attempt.target,
                    ran = outcome.ranMicros.microseconds,
                    failed = outcome.status != TaskStatus.DONE,
                    now = services.now,
                )
            }
        }
    }

    private fun settle(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val submission = attempt.submission
        when (outcome.status) {
            TaskStatus.DONE -> submission.markDone(attempt.task, outcome.result.orEmpty())
            TaskStatus.ERROR -> submission.markStarted(attempt.task)
            TaskStatus.UNKNOWN -> submission.markUnknown(attempt.task)
            TaskStatus.NOT_RUN, TaskStatus.RUNNING -> Unit
        }
        if (submission.phase == SubmissionPhase.OPEN) return finishOrRetry(attempt, outcome)
        attempt.release(services, teams)
        if (submission.phase == SubmissionPhase.CLOSING) listener.settled(submission) else counters.countWasted(WastedMessage.LATE_CANCEL)
    }

    private fun finishOrRetry(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val submission = attempt.submission
        when {
            outcome.status == TaskStatus.DONE -> {
                attempt.release(services, teams)
                if (submission.isComplete) completed(submission)
            }

            outcome.status == TaskStatus.NOT_RUN || tryRetry(submission, attempt.task) -> {
                dispatcher.requeue(submission, attempt.task)
            }

            else -> {
                attempt.release(services, teams)
                listener.failed(submission, taskError(attempt.task, outcome, submission))
            }
        }
    }

    private fun tryRetry(
        submission: Submission,
        task: Int,
    ): Boolean {
        if (!submission.spec.idempotent) return false
        val retries = submission.retryCounts[task] ?: 0
        if (retries >= MAX_RETRIES_PER_TASK || !services.retryBudget(submission).tryRetry()) return false
        submission.retryCounts[task] = retries + 1
        counters.countWasted(WastedMessage.RETRY)
        return true
    }

    private fun taskError(
        task: Int,
        outcome: TaskOutcome,
        submission: Submission,
    ): ErrorBody {
        val code = if (outcome.status == TaskStatus.ERROR) ErrorCode.TASK_FAILED else ErrorCode.OUTCOME_UNKNOWN
        val id = submission.spec.tasks[task].id
        val summary = if (code == ErrorCode.TASK_FAILED) "Task $id failed" else "It is unknown whether task $id ran"
        return ErrorBody(code, "$summary: ${outcome.reason ?: "no reason given"}.")
    }

    private fun completed(submission: Submission) {
        dispatcher.completed(submission)
        listener.completed(submission)
    }

    override fun creditsLost(session: AgentSession) = dispatcher.dropCredits(session)

    override fun neverSent(attempt: Attempt) = settleUnreported(attempt, TaskStatus.NOT_RUN, "never sent")

    override fun outcomeLost(attempt: Attempt) = settleUnreported(attempt, TaskStatus.UNKNOWN, "the agent ${attempt.session.agent} is gone")

    private fun settleUnreported(
        attempt: Attempt,
        status: TaskStatus,
        reason: String,
    ) {
        val submission = attempt.submission
        if (submission.outstandingAttempts[attempt.task] !== attempt) return
        submission.outstandingAttempts.remove(attempt.task)
        settle(attempt, attempt.assumedOutcome(status, reason))
    }

    private fun Attempt.assumedOutcome(
        status: TaskStatus,
        reason: String,
    ) = TaskOutcome(submission = submission.id, task = task, attempt = number, status = status, reason = reason)

    private companion object {
        const val MAX_RETRIES_PER_TASK = 3
    }
}

/** Removes the attempt from the running tasks of its queue and of its team. */
internal fun Attempt.release(
    services: ServiceTable,
    teams: TeamUsage,
) {
    services.queueFor(submission).jobs.taskEnded(submission.id, task)
    teams.adjust(submission, running = -1)
}
