package io.bluebellramp.replication

import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.MembershipRequest
import io.bluebellramp.messages.RecordKind
import kotlin.random.Random
import kotlin.time.Duration

/**
 * One member of the replicated log as a state machine without I/O: it is given the time and its inputs, and [take] returns what to
 * write and send. Used from one thread at a time.
 *
 * Call [take] after each batch of inputs. Proposals of one batch share one write and one request to each member.
 */
internal class RaftCore(
    self: MemberAddress,
    founding: List<MemberAddress>,
    joining: Boolean,
    settings: LogSettings,
    machine: StateMachine,
    stored: StoredState,
    random: Random,
    started: Duration,
) {
    private val state = MemberState(self, settings, machine, stored, started)
    private val leader = Leader(state)
    private val elections = Elections(state, random, started) { leader.start(it) }
    private val follower = Follower(state, started) { elections.heard(it) }
    private val changes = MembershipChanges(state, leader)
    private val bootstrap = Founding(state, founding)

    val role get() = state.role
    val term get() = state.term
    val stage get() = state.vote.stage

    /** When the next heartbeat or election is due; inputs may change it. */
    val due get() = if (state.role == Role.LEADER) leader.due else elections.due

    init {
        if (stored.vote == null) initialize(joining)
        if (!state.isVoter) state.role = Role.LEARNER
    }

    /** Lets time pass. Call it at [due] and at least twice in each heartbeat. */
    fun onTick(now: Duration) {
        bootstrap.tick(now)
        leader.tick(now)
        elections.tick(now)
    }

    /** Handles a request that is answered by a [Effect.Reply] for [call]. */
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

    /** Handles the answer of [from] to [request], or null if none came. */
    fun onResponse(
        now: Duration,
        from: MemberAddress,
        request: PeerRequest,
        response: PeerResponse?,
    ) {
        when (request) {
            is PeerRequest.Vote -> {
                onVoteAnswer(now, from, request, response)
            }

            is PeerRequest.Append -> {
                val body = (response as PeerResponse.Append?)?.body
                if (body != null && body.term > state.term) return state.follow(body.term, null)
                leader.onAppendAnswer(from, request.body, body)
            }

            is PeerRequest.Snapshot -> {
                val body = (response as PeerResponse.Snapshot?)?.body
                if (body != null && body.term > state.term) return state.follow(body.term, null)
                leader.onSnapshotAnswer(from, request.body, body)
            }
        }
    }

    /** Proposes [command]; the answer is the [Effect.Finish] for [proposal]. */
    fun onPropose(
        proposal: Long,
        command: String,
    ) {
        if (state.role != Role.LEADER) return state.outbox.finish(proposal, ProposalResult.NotLeader(state.leader))
        state.pending[state.append(RecordKind.COMMAND, command)] = proposal
    }

    /** Proposes a change of the members; the answer is the [Effect.Finish] for [proposal]. */
    fun onChange(
        now: Duration,
        proposal: Long,
        request: MembershipRequest,
    ) = changes.propose(now, proposal, request)

    /** The writes of all outputs up to [number] are durable. */
    fun onSynced(number: Long) = state.sync.synced(number)

    /** Returns what to do since the last call. */
    fun take(now: Duration): Output {
        leader.flush(now)
        changes.advance(now)
        leader.flush(now)
        val output = state.outbox.take()
        if (output.writes.isNotEmpty()) state.sync.issued(output.number, state.log.lastIndex)
        return output
    }

    /** Returns until when no other leader can be elected, or null if this member is not a leader with a majority. */
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
            matchIndexes = if (state.role == Role.LEADER) leader.matches() else emptyMap(),
            isJoint = state.log.isJoint,
        )

    private fun initialize(joining: Boolean) {
        val stage = if (joining) FoundingStage.ACTIVE else FoundingStage.NEW
        val fresh = VoteState(state.id, stage = stage, joining = joining)
        state.vote = fresh
        state.outbox.write(StorageWrite.Vote(fresh))
    }

    private fun onVoteAnswer(
        now: Duration,
        from: MemberAddress,
        request: PeerRequest.Vote,
        response: PeerResponse?,
    ) {
        val body = (response as PeerResponse.Vote?)?.body ?: return
        if (request.body.founding) bootstrap.onAnswer(from, body) else elections.onAnswer(now, from, request.body, body)
    }
}
