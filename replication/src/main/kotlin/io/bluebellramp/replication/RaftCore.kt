package io.bluebellramp.replication

import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.RecordKind
import kotlin.random.Random
import kotlin.time.Duration

/**
 * The Raft algorithm of one member, without I/O: the caller passes in the time and the inputs, and [takeOutput] returns what to write
 * and what to send. Not thread-safe.
 *
 * Call [takeOutput] after each batch of inputs. All proposals of a batch share one write and one request to each member.
 */
internal class RaftCore(
    self: MemberAddress,
    foundingMembers: List<MemberAddress>,
    joining: Boolean,
    settings: LogSettings,
    stateMachine: StateMachine,
    stored: StoredState,
    random: Random,
    startedAt: Duration,
) {
    private val state = MemberState(self, settings, stateMachine, stored, startedAt)
    private val leader = Leader(state)
    private val elections = Elections(state, random, startedAt) { leader.becomeLeader(it) }
    private val follower = Follower(state, startedAt) { elections.onLeaderContact(it) }
    private val changes = MembershipChanges(state, leader)
    private val bootstrap = ClusterBootstrap(state, foundingMembers)

    val role get() = state.role
    val term get() = state.term
    val stage get() = state.vote.stage

    /** The time of the next heartbeat or election. Inputs may change it. */
    val dueAt get() = if (state.role == Role.LEADER) leader.nextHeartbeatAt else elections.dueAt

    init {
        if (stored.vote == null) initializeVote(joining)
        if (!state.isVoter) state.role = Role.LEARNER
    }

    /** Performs what is due at [now]. Call it at [dueAt] and at least twice in each heartbeat interval. */
    fun onTick(now: Duration) {
        bootstrap.onTick(now)
        leader.onTick(now)
        elections.onTick(now)
    }

    /** Handles a request of another member. The answer is an [Effect.Reply] for [call]. */
    fun onRequest(
        now: Duration,
        call: Long,
        request: PeerRequest,
    ) {
        when (request) {
            is PeerRequest.Vote -> elections.onRequest(now, call, request.body, leader.leaseEnd(now).let { it != null && now < it })
            is PeerRequest.Append -> follower.onAppend(now, call, request.body)
            is PeerRequest.Snapshot -> follower.onSnapshot(now, call, request.body)
        }
    }

    /** Handles the answer of [from] to [request]. [response] is null if none came. */
    fun onResponse(
        now: Duration,
        from: MemberAddress,
        request: PeerRequest,
        response: PeerResponse?,
    ) {
        when (request) {
            is PeerRequest.Vote -> {
                onVoteResponse(now, from, request, response)
            }

            is PeerRequest.Append -> {
                val body = (response as PeerResponse.Append?)?.body
                if (body != null && body.term > state.term) return state.becomeFollower(body.term, null)
                leader.onAppendResponse(from, request.body, body)
            }

            is PeerRequest.Snapshot -> {
                val body = (response as PeerResponse.Snapshot?)?.body
                if (body != null && body.term > state.term) return state.becomeFollower(body.term, null)
                leader.onSnapshotResponse(from, request.body, body)
            }
        }
    }

    /** Proposes [command]. The result is an [Effect.CompleteProposal] for [proposal]. */
    fun onPropose(
        proposal: Long,
        command: String,
    ) {
        if (state.role != Role.LEADER) return state.outbox.completeProposal(proposal, ProposalResult.NotLeader(state.leader))
        if (!state.hasRoomFor(command)) return state.outbox.completeProposal(proposal, ProposalResult.Refused(TOO_MANY_UNCOMMITTED))
        state.pendingProposals[state.append(RecordKind.COMMAND, command)] = proposal
    }

    /** Proposes a membership change. The result is an [Effect.CompleteProposal] for [proposal]. */
    fun onMembershipChange(
        now: Duration,
        proposal: Long,
        request: MembershipRequest,
    ) = changes.propose(now, proposal, request)

    /** Call it once the writes of all outputs up to [outputNumber] are durable. */
    fun onSynced(outputNumber: Long) = state.syncedIndex.markSynced(outputNumber)

    /** Returns the writes and effects that the inputs since the last call gave rise to. */
    fun takeOutput(now: Duration): Output {
        leader.commitAndReplicate(now)
        changes.advance(now)
        leader.commitAndReplicate(now)
        val output = state.outbox.takeOutput()
        if (output.writes.isNotEmpty()) state.syncedIndex.addPending(output.sequenceNumber, state.log.lastIndex)
        return output
    }

    /** Returns the time until which no other leader can be elected, or null if this member is not a leader confirmed by a majority. */
    fun leaseEnd(now: Duration): Duration? = leader.leaseEnd(now)

    fun status(): LogStatus =
        LogStatus(
            role = state.role,
            term = state.term,
            leader = state.leader,
            commitIndex = state.commitIndex,
            appliedIndex = state.appliedIndex,
            lastIndex = state.log.lastIndex,
            membership = state.log.membership,
            matchIndexes = if (state.role == Role.LEADER) leader.matchIndexes() else emptyMap(),
            isJoint = state.log.isJoint,
        )

    private fun initializeVote(joining: Boolean) {
        val stage = if (joining) BootstrapStage.ACTIVE else BootstrapStage.NEW
        val initial = VoteState(state.id, stage = stage, joining = joining)
        state.vote = initial
        state.outbox.write(StorageWrite.Vote(initial))
    }

    private fun onVoteResponse(
        now: Duration,
        from: MemberAddress,
        request: PeerRequest.Vote,
        response: PeerResponse?,
    ) {
        val body = (response as PeerResponse.Vote?)?.body ?: return
        if (request.body.founding) bootstrap.onVoteResponse(from, body) else elections.onVoteResponse(now, from, request.body, body)
    }

    private companion object {
        const val TOO_MANY_UNCOMMITTED = "too many records wait to be committed"
    }
}
