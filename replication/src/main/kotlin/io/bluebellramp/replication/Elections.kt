package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import kotlin.random.Random
import kotlin.time.Duration

/** Holds elections, each with a pre-vote first, and answers the vote requests of other members. */
internal class Elections(
    private val state: MemberState,
    private val random: Random,
    startedAt: Duration,
    private val onElected: (Duration) -> Unit,
) {
    /** The members that granted the current pre-vote or vote, this one included. */
    private val grantedBy = HashSet<MemberId>()

    /** True if the current or last election of this member got no further than its pre-vote. */
    private var isPreVote = true

    /**
     * Number of election deadlines set since the start while the short startup windows are used. Null once a leader was heard from, or
     * once the window has grown to the election timeout.
     */
    private var startupAttempts: Int? = if (state.settings.electsAtStart) 0 else null

    /** The time of the next election. */
    var dueAt = randomElectionDeadline(startedAt)
        private set

    /** Call it after a message from a leader: the next election is at least one election timeout away. */
    fun onLeaderContact(now: Duration) {
        startupAttempts = null
        resetElectionTimer(now)
    }

    private fun resetElectionTimer(now: Duration) {
        dueAt = randomElectionDeadline(now)
    }

    fun onTick(now: Duration) {
        if (state.role == Role.LEADER || now < dueAt) return
        resetElectionTimer(now)
        if (!state.isActive || state.log.isEmpty || !state.isVoter || state.isRetired(state.id)) return
        state.role = Role.CANDIDATE
        state.leader = null
        isPreVote = true
        grantedBy.clear()
        grantedBy += state.id
        advanceElection(now)
    }

    /** Answers [request]. A member that heard from a leader less than an election timeout ago grants no vote. */
    fun onRequest(
        now: Duration,
        call: Long,
        request: VoteRequest,
        hasLease: Boolean,
    ) {
        val isGranted = !request.founding && isVoteAllowed(now, request.candidate, hasLease) && grantVote(now, request)
        val hidesTerm = !state.isActive
        val response = VoteResponse(if (hidesTerm) 0 else state.term, isGranted, state.vote.stage)
        state.outbox.reply(call, PeerResponse.Vote(response))
    }

    fun onVoteResponse(
        now: Duration,
        from: MemberAddress,
        request: VoteRequest,
        response: VoteResponse,
    ) {
        if (response.term > state.term && !response.granted) {
            state.becomeFollower(response.term, null)
            return
        }
        val expected = if (isPreVote) state.term + 1 else state.term
        if (state.role != Role.CANDIDATE || request.preVote != isPreVote || request.term != expected) return
        if (!response.granted || response.stage != BootstrapStage.ACTIVE) return
        grantedBy += from.member
        advanceElection(now)
    }

    /** Moves on from the pre-vote to the vote, or from the vote to leadership, once a majority agrees. Sends the requests of a new step. */
    private fun advanceElection(now: Duration) {
        if (hasMajority(state.log.voterSets, grantedBy)) return if (isPreVote) campaign(now) else onElected(now)
        if (grantedBy.size == 1) sendRequests()
    }

    private fun campaign(now: Duration) {
        state.saveVote(state.vote.copy(term = state.term + 1, votedFor = state.id))
        isPreVote = false
        grantedBy.clear()
        grantedBy += state.id
        resetElectionTimer(now)
        advanceElection(now)
    }

    private fun sendRequests() {
        val term = if (isPreVote) state.term + 1 else state.term
        val request = VoteRequest(term, state.id, state.log.lastIndex, state.log.lastTerm, isPreVote)
        val voters =
            state.log.voterSets
                .flatten()
                .toSet()
        state.log.members
            .filter { it.member in voters && it.member != state.id }
            .forEach { state.outbox.sendAfterSync(it, PeerRequest.Vote(request)) }
    }

    private fun isVoteAllowed(
        now: Duration,
        candidate: MemberId,
        hasLease: Boolean,
    ): Boolean {
        if (!state.isActive || state.log.isEmpty) return false
        if (state.isRetired(candidate)) return false
        return !hasLease && now - state.lastLeaderContact >= state.settings.electionTimeout
    }

    /** During startup, a member that grants a pre-vote resets its own election timer, so that the two don't split the votes. */
    private fun grantVote(
        now: Duration,
        request: VoteRequest,
    ): Boolean {
        if (request.term < state.term || (request.preVote && request.term == state.term)) return false
        if (request.preVote) return isUpToDate(request).also { if (it && startupAttempts != null) resetElectionTimer(now) }
        if (request.term > state.term) state.becomeFollower(request.term, null)
        if (!isUpToDate(request)) return false
        if (state.vote.votedFor != null && state.vote.votedFor != request.candidate) return false
        state.saveVote(state.vote.copy(votedFor = request.candidate))
        resetElectionTimer(now)
        return true
    }

    private fun isUpToDate(request: VoteRequest) =
        request.lastTerm > state.log.lastTerm ||
            (request.lastTerm == state.log.lastTerm && request.lastIndex >= state.log.lastIndex)

    private fun randomElectionDeadline(now: Duration): Duration {
        val electionTimeout = state.settings.electionTimeout
        val attempt = startupAttempts ?: return now + electionTimeout * (1.0 + random.nextDouble())
        val window = state.settings.startupElectionWindow(attempt)
        startupAttempts = (attempt + 1).takeIf { window < electionTimeout }
        return now + window * (MIN_STARTUP_DELAY_FRACTION + random.nextDouble())
    }

    private companion object {
        /** Minimum delay before an election during startup, as a fraction of its window. The links to the other members open meanwhile. */
        const val MIN_STARTUP_DELAY_FRACTION = 0.5
    }
}
