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

/** The submissions without an answer and the answers that are kept. No I/O. */
internal class SubmissionTable(
    private val counters: Counters,
    private val sink: ActionSink,
    budget: MemoryBudget,
) {
    private val submissions = LinkedHashMap<SubmissionId, Submission>()
    private val owners = HashMap<SubmissionId, ClaimHolder>()

    /** By deadline. A submission leaves with its answer, so that its payloads are not held until then. */
    private val deadlines = TreeSet<Submission>(compareBy({ it.deadline }, { it.id.value }))
    private val kept = KeptAnswers(life = KEEP_LIFE, budget = budget)

    /** Submissions whose attempts are being settled. */
    val closing = LinkedHashSet<Submission>()

    /** Submissions whose claim must be confirmed. */
    val unconfirmed = LinkedHashSet<Submission>()

    /** The time of the current step. */
    var now = Duration.ZERO

    /** Submissions without an answer. */
    val size get() = submissions.size

    /** The submissions that this entry owns. */
    val owned get() = submissions.values.filter { it.phase == SubmissionPhase.OPEN || it.phase == SubmissionPhase.CLOSING }

    operator fun get(id: SubmissionId): Submission? = submissions[id]

    /** The answer that is kept for [id], or null. */
    fun kept(id: SubmissionId): KeptAnswers.Kept? = kept[id]

    /** Forgets the answers whose life is over. */
    fun forgetOld() = kept.expire(now)

    fun add(submission: Submission) {
        submissions[submission.id] = submission
        deadlines += submission
    }

    /** Takes the next submission whose deadline has come, or null. Each is taken once. */
    fun takeDue(): Submission? = if (deadlines.isNotEmpty() && deadlines.first().deadline <= now) deadlines.pollFirst() else null

    /** The entry that owns a followed submission. */
    fun owner(submission: Submission): ClaimHolder = owners.getValue(submission.id)

    /** Notes who owns [submission], or that nobody is known to. */
    fun setOwner(
        submission: Submission,
        owner: ClaimHolder?,
    ) {
        if (owner == null) owners.remove(submission.id) else owners[submission.id] = owner
    }

    /** Tells what is known of [id]. */
    fun lookup(id: SubmissionId): Lookup {
        kept[id]?.let { return Lookup.Answered(it.answer) }
        val submission = submissions[id] ?: return Lookup.Unknown
        return if (submission.isTakingOver) Lookup.Lost(ownerLost(submission)) else Lookup.Pending(isFollowing = id in owners)
    }

    /** The answer to a submission whose owner is given up for dead. */
    fun ownerLost(submission: Submission): Answer = lost(submission, "The entry ${owners[submission.id]?.entry} that owned it is gone.")

    /** The answer to a submission of which nothing certain is known. */
    fun lost(
        submission: Submission,
        message: String,
    ) = Answer(submission = submission.id, outcome = AnswerOutcome.FAILED, error = ErrorBody(ErrorCode.OWNER_LOST, message))

    /** Gives the final answer and keeps it. */
    fun deliver(
        submission: Submission,
        answer: Answer,
    ) {
        forget(submission)
        kept.add(submission.new.digest, answer, now)
        counters.answer(answer.outcome)
        sink += Action.Deliver(submission.id, Reply.Whole(answer))
    }

    /** Notes that a caller has the whole answer to [id]. */
    fun fetched(id: SubmissionId) = kept.fetched(id)

    /** Returns the final answers that no caller has. */
    fun unfetched(): List<KeptAnswer> = kept.unfetched().map { KeptAnswer(digest = it.digest, answer = it.answer) }

    /** Keeps the final answer of another entry that ends, and gives it to those who wait for it here. */
    fun adopt(adopted: KeptAnswer) {
        val id = adopted.answer.submission
        if (kept[id] != null) return
        val submission = submissions[id] ?: return kept.add(adopted.digest, adopted.answer, now)
        val isFollowing = submission.phase == SubmissionPhase.FOLLOWING && !submission.isTakingOver
        if (isFollowing && submission.new.digest == adopted.digest) deliver(submission, adopted.answer)
    }

    /** Refuses a submission of which this entry started nothing and that it does not own. */
    fun refuse(
        submission: Submission,
        code: ErrorCode,
        message: String,
    ) {
        forget(submission)
        counters.refusal(code)
        sink += Action.LogRouting("refuse", code.name.lowercase(), submission.id)
        sink += Action.Deliver(submission.id, Reply.Refused(ErrorBody(code, message)))
    }

    private fun forget(submission: Submission) {
        submission.phase = SubmissionPhase.ANSWERED
        submission.memory.close()
        submissions.remove(submission.id)
        owners.remove(submission.id)
        deadlines -= submission
        closing -= submission
        unconfirmed -= submission
    }

    private companion object {
        /** Longest life of an id, with a margin for clocks that differ. */
        val KEEP_LIFE = 12.minutes
    }
}
