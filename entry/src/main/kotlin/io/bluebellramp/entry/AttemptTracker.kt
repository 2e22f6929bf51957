package io.bluebellramp.entry

import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.TaskOutcome
import io.bluebellramp.messages.TaskStatus
import kotlin.time.Duration.Companion.microseconds

/** Takes the outcomes of attempts. A task moves on only by proof that its attempt did not start, or if it is idempotent. No I/O. */
internal class AttemptTracker(
    private val dispatcher: Dispatcher,
    private val services: ServiceTable,
    private val teams: TeamLedger,
    private val counters: Counters,
) : AgentListener {
    lateinit var listener: SubmissionListener

    /** Takes an outcome that [session] reported. One that was not asked for is dropped and counted. */
    fun outcome(
        session: AgentSession,
        outcome: TaskOutcome,
    ) {
        session.received++
        counters.outcome(outcome.status)
        val key = AttemptKey(outcome.submission, outcome.task, outcome.attempt)
        val attempt = session.unresolved[key]
        if (attempt == null || !attempt.isSent) {
            counters.waste(Waste.DUPLICATE_ANSWER)
            return
        }
        val submission = attempt.submission
        if (outcome.status == TaskStatus.RUNNING) {
            submission.markStarted(attempt.task)
            if (submission.phase == SubmissionPhase.CLOSING) listener.settled(submission)
            return
        }
        session.unresolved.remove(key)
        account(attempt, outcome)
        if (submission.outstanding[attempt.task] !== attempt) {
            counters.waste(Waste.DUPLICATE_ANSWER)
            return
        }
        submission.outstanding.remove(attempt.task)
        settle(attempt, outcome)
    }

    private fun account(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val pool = services.lane(attempt.submission).pool
        when (outcome.status) {
            TaskStatus.NOT_RUN -> {
                counters.waste(Waste.REFUSAL)
                pool.notRun(attempt.target)
            }

            else -> {
                pool.ended(
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
            TaskStatus.DONE -> submission.complete(attempt.task, outcome.result.orEmpty())
            TaskStatus.ERROR -> submission.markStarted(attempt.task)
            TaskStatus.UNKNOWN -> submission.markUnknown(attempt.task)
            TaskStatus.NOT_RUN, TaskStatus.RUNNING -> Unit
        }
        if (submission.phase == SubmissionPhase.OPEN) return proceed(attempt, outcome)
        attempt.release(services, teams)
        if (submission.phase == SubmissionPhase.CLOSING) listener.settled(submission) else counters.waste(Waste.LATE_CANCEL)
    }

    private fun proceed(
        attempt: Attempt,
        outcome: TaskOutcome,
    ) {
        val submission = attempt.submission
        when {
            outcome.status == TaskStatus.DONE -> {
                attempt.release(services, teams)
                if (submission.isComplete) completed(submission)
            }

            outcome.status == TaskStatus.NOT_RUN || mayRetry(submission, attempt.task) -> {
                dispatcher.again(submission, attempt.task)
            }

            else -> {
                attempt.release(services, teams)
                listener.failed(submission, error(attempt.task, outcome, submission))
            }
        }
    }

    private fun mayRetry(
        submission: Submission,
        task: Int,
    ): Boolean {
        if (!submission.new.idempotent) return false
        val made = submission.retries[task] ?: 0
        if (made >= MAX_RETRIES || !services.retries(submission).tryRetry()) return false
        submission.retries[task] = made + 1
        counters.waste(Waste.RETRY)
        return true
    }

    private fun error(
        task: Int,
        outcome: TaskOutcome,
        submission: Submission,
    ): ErrorBody {
        val code = if (outcome.status == TaskStatus.ERROR) ErrorCode.TASK_FAILED else ErrorCode.OUTCOME_UNKNOWN
        val id = submission.new.tasks[task].id
        val what = if (code == ErrorCode.TASK_FAILED) "Task $id failed" else "It is unknown whether task $id ran"
        return ErrorBody(code, "$what: ${outcome.reason ?: "no reason given"}.")
    }

    private fun completed(submission: Submission) {
        dispatcher.completed(submission)
        listener.completed(submission)
    }

    override fun creditsLost(session: AgentSession) = dispatcher.dropCredits(session)

    override fun neverSent(attempt: Attempt) = resolve(attempt, TaskStatus.NOT_RUN, "never sent")

    override fun outcomeLost(attempt: Attempt) = resolve(attempt, TaskStatus.UNKNOWN, "the agent ${attempt.session.agent} is gone")

    private fun resolve(
        attempt: Attempt,
        status: TaskStatus,
        reason: String,
    ) {
        val submission = attempt.submission
        if (submission.outstanding[attempt.task] !== attempt) return
        submission.outstanding.remove(attempt.task)
        settle(attempt, attempt.outcome(status, reason))
    }

    private fun Attempt.outcome(
        status: TaskStatus,
        reason: String,
    ) = TaskOutcome(submission = submission.id, task = task, attempt = number, status = status, reason = reason)

    private companion object {
        const val MAX_RETRIES = 3
    }
}

/** The attempt counts in its queue and in the quota of its team no longer. */
internal fun Attempt.release(
    services: ServiceTable,
    teams: TeamLedger,
) {
    services.lane(submission).queue.ended(submission.id, task)
    teams.count(submission, running = -1)
}
