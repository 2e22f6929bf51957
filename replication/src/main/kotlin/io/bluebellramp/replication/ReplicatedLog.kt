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

/** The result of a proposal. */
sealed interface ProposalResult {
    /** The command is committed and applied at [index]; [answer] is what the state machine returned. */
    data class Applied(
        val index: Long,
        val answer: String,
    ) : ProposalResult

    /** This member is not the leader, and nothing was proposed. [leader] is the leader known to it. */
    data class NotLeader(
        val leader: MemberAddress?,
    ) : ProposalResult

    /** Leadership was lost before the proposal completed. It may or may not be committed. */
    data object Unknown : ProposalResult

    /** The proposal was refused for [reason], and nothing was proposed. */
    data class Refused(
        val reason: String,
    ) : ProposalResult
}

/** The role of a member. */
enum class Role { LEADER, FOLLOWER, CANDIDATE, LEARNER }

/**
 * The state of the log as far as a member knows it.
 *
 * @property matchIndexes last index known to be synced, by member; empty unless this member leads
 * @property isJoint true while a change of the voters is not confirmed in this member's log, so that a majority of the old ones is needed
 * too
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
    /** True if the membership is committed and no change of the voters awaits confirmation, as far as this member knows. */
    val isSettled: Boolean get() = !isJoint && membership.index <= commitIndex
}

/** The interface of a member of the replicated log. Thread-safe. */
interface ReplicatedLog {
    /** Proposes [command] and waits until it is synced by a majority, committed, and applied by this member. */
    suspend fun propose(command: String): ProposalResult

    /** Adds a learner, adds a voter (as a learner first), removes a member, or replaces a member by another in a single change. */
    suspend fun changeMembership(request: MembershipRequest): ProposalResult

    /**
     * Returns true if this member holds the leader's lease: it has applied a record of its own term, and a majority has answered requests
     * that it sent less than the election timeout ago. While this is true, no other leader can have been elected.
     */
    fun holdsLeaderLease(): Boolean

    /** Returns the state of the log as this member knows it. */
    fun status(): LogStatus

    /** Handles a vote request of another member. */
    suspend fun onVote(request: VoteRequest): VoteResponse

    /** Handles an append request of another member, and returns once the records are synced. */
    suspend fun onAppend(request: AppendRequest): AppendResponse

    /** Handles a part of a snapshot from another member. */
    suspend fun onSnapshot(request: SnapshotRequest): SnapshotResponse
}

/** Sends requests to other members. Each call returns null if no answer came; the request may have arrived nevertheless. */
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
