package io.bluebellramp.entry

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.Answer
import io.bluebellramp.messages.AnswerOutcome
import io.bluebellramp.messages.ClaimHolder
import io.bluebellramp.messages.ErrorBody
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.messages.KeptAnswer
import java.util.TreeSet
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes

/** The submissions without an answer, and the cached final answers. No I/O. */
internal class SubmissionTable(
    private val counters: EntryCounters,
    private val actions: ActionBuffer,
    budget: MemoryBudget,
) {
    private val submissions = LinkedHashMap<SubmissionId, Submission>()
    private val owners = HashMap<SubmissionId, ClaimHolder>()

    /**
     * Submissions by deadline. A submission is removed when it is answered, so that its payloads are not kept in memory until the
     * deadline.
     */
    private val deadlines = TreeSet<Submission>(compareBy({ it.deadline }, { it.id.value }))
    private val answers = AnswerCache(retention = ANSWER_RETENTION, budget = budget)

    /** Submissions whose dispatched attempts are being settled. */
    val closing = LinkedHashSet<Submission>()

    /** Submissions whose claim must be confirmed after the lease expired. */
    val unconfirmed = LinkedHashSet<Submission>()

    /** The current time, set at the start of each call of [EntryCore]. */
    var now = Duration.ZERO

    /** Number of submissions without an answer. */
    val size get() = submissions.size

    /** The submissions that this entry owns. */
    val owned get() = submissions.values.filter { it.phase == SubmissionPhase.OPEN || it.phase == SubmissionPhase.CLOSING }

    operator fun get(id: SubmissionId): Submission? = submissions[id]

    /** The cached final answer for [id], or null. */
    fun cachedAnswer(id: SubmissionId): AnswerCache.CachedAnswer? = answers[id]

    /** Removes expired answers from the cache. */
    fun expireAnswers() = answers.expire(now)

    fun add(submission: Submission) {
        submissions[submission.id] = submission
        deadlines += submission
    }

    /** Removes and returns the next submission whose deadline has passed, or null. Each submission is returned once. */
    fun takeExpired(): Submission? = if (deadlines.isNotEmpty() && deadlines.first().deadline <= now) deadlines.pollFirst() else null

    /** Returns the other entry that owns [submission]. */
    fun owner(submission: Submission): ClaimHolder = owners.getValue(submission.id)

    /** Sets the other entry that owns [submission], or null if the owner is unknown. */
    fun setOwner(
        submission: Submission,
        owner: ClaimHolder?,
    ) {
        if (owner == null) owners.remove(submission.id) else owners[submission.id] = owner
    }

    /** Returns what this entry knows about [id]. */
    fun lookup(id: SubmissionId): LookupResult {
        answers[id]?.let { return LookupResult.Answered(it.answer) }
        val submission = submissions[id] ?: return LookupResult.Unknown
        return if (submission.isTakingOver) LookupResult.Lost(ownerLost(submission)) else LookupResult.Pending(isRemote = id in owners)
    }

    /** The answer to a submission whose owner is considered dead. */
    fun ownerLost(submission: Submission): Answer =
        lostAnswer(submission, "The entry ${owners[submission.id]?.entry} that owned it is gone.")

    /** The answer to a submission of which it is unknown whether tasks started. */
    fun lostAnswer(
        submission: Submission,
        message: String,
    ) = Answer(submission = submission.id, outcome = AnswerOutcome.FAILED, error = ErrorBody(ErrorCode.OWNER_LOST, message))

    /** Delivers the final answer and caches it. */
    fun deliver(
        submission: Submission,
        answer: Answer,
    ) {
        forget(submission)
        answers.add(submission.spec.digest, answer, now)
        counters.countAnswer(answer.outcome)
        actions += Action.Deliver(submission.id, Reply.Answered(answer))
    }

    /** Records that a caller has received the full answer to [id]. */
    fun markFetched(id: SubmissionId) = answers.markFetched(id)

    /** Returns the final answers that no caller has received. */
    fun unfetchedAnswers(): List<KeptAnswer> = answers.unfetchedAnswers().map { KeptAnswer(digest = it.digest, answer = it.answer) }

    /** Caches the final answer of another entry that shuts down, and delivers it to callers that wait for it here. */
    fun importAnswer(imported: KeptAnswer) {
        val id = imported.answer.submission
        if (answers[id] != null) return
        val submission = submissions[id] ?: return answers.add(imported.digest, imported.answer, now)
        val isRemote = submission.phase == SubmissionPhase.AWAITING_OWNER && !submission.isTakingOver
        if (isRemote && submission.spec.digest == imported.digest) deliver(submission, imported.answer)
    }

    /** Refuses a submission that this entry does not own and of which it started no task. */
    fun refuse(
        submission: Submission,
        code: ErrorCode,
        message: String,
    ) {
        forget(submission)
        counters.countRefusal(code)
        actions += Action.LogSubmissionDecision("refuse", code.name.lowercase(), submission.id)
        actions += Action.Deliver(submission.id, Reply.Refused(ErrorBody(code, message)))
    }

    private fun forget(submission: Submission) {
        submission.phase = SubmissionPhase.ANSWERED
        submission.memoryReservation.close()
        submissions.remove(submission.id)
        owners.remove(submission.id)
        deadlines -= submission
        closing -= submission
        unconfirmed -= submission
    }

    private companion object {
        /** Longest lifetime of an id, with a margin for clock differences. */
        val ANSWER_RETENTION = 12.minutes
    }
}
