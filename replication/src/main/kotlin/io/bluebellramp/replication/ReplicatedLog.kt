package io.bluebellramp.replication

import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse

/** What became of a proposal. */
sealed interface ProposalResult {
    /** The command is committed and applied at [index]; [answer] is what the state machine returned. */
    data class Applied(
        val index: Long,
        val answer: String,
    ) : ProposalResult

    /** This member is not the leader; nothing was proposed. */
    data class NotLeader(
        val leader: MemberAddress?,
    ) : ProposalResult

    /** Leadership was lost while the proposal was under way. It may or may not be committed. */
    data object Unknown : ProposalResult

    /** A membership change was refused for [reason]; the voters are as before. */
    data class Refused(
        val reason: String,
    ) : ProposalResult
}

/** The role of a member. */
enum class Role { LEADER, FOLLOWER, CANDIDATE, LEARNER }

/**
 * What a member knows of the log.
 *
 * @property matchIndexes last synced index by member, known to the leader only
 * @property isJoint true while a change of the voters is not confirmed here: a majority of the former voters is needed too
 */
data class LogStatus(
    val role: Role,
    val term: Long,
    val leader: MemberAddress?,
    val commitIndex: Long,
    val appliedIndex: Long,
    val lastIndex: Long,
    val membership: Membership,
    val matchIndexes: Map<String, Long>,
    val isJoint: Boolean = false,
) {
    /** True if the members are those of a confirmed change, as far as this member knows. */
    val isSettled: Boolean get() = !isJoint && membership.index <= commitIndex
}

/** One member of the replicated log, as its owner sees it. Safe for concurrent use. */
interface ReplicatedLog {
    /** Proposes [command] and waits until it is committed by a majority, synced and applied here. */
    suspend fun propose(command: String): ProposalResult

    /** Adds a learner and then makes it a voter, removes a member, or replaces one in a single committed swap. */
    suspend fun changeMembership(request: MembershipRequest): ProposalResult

    /**
     * Tells whether this member is a leader that has applied a record of its own term and whose last round that a majority
     * answered was sent less than the election time ago. No other leader can have been elected when it returns true.
     */
    fun holdsMajority(): Boolean

    /** Returns what this member knows. */
    fun status(): LogStatus

    /** Handles a message of another member. */
    suspend fun onVote(request: VoteRequest): VoteResponse

    /** Handles a message of another member; returns once the records are synced. */
    suspend fun onAppend(request: AppendRequest): AppendResponse

    /** Handles a message of another member. */
    suspend fun onSnapshot(request: SnapshotRequest): SnapshotResponse
}

/** Sends messages to other members. Each call returns null if no answer came; the message may have arrived all the same. */
interface LogTransport {
    suspend fun vote(
        to: MemberAddress,
        request: VoteRequest,
    ): VoteResponse?

    suspend fun append(
        to: MemberAddress,
        request: AppendRequest,
    ): AppendResponse?

    suspend fun snapshot(
        to: MemberAddress,
        request: SnapshotRequest,
    ): SnapshotResponse?
}
