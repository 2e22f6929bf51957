package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.VoteRequest
import io.bluebellramp.messages.VoteResponse
import kotlin.random.Random
import kotlin.time.Duration

/** Asks for votes and gives them. */
internal class Elections(
    private val state: MemberState,
    private val random: Random,
    started: Duration,
    private val onElected: (Duration) -> Unit,
) {
    private val granted = HashSet<MemberId>()
    private var isTrial = true

    /** Elections since the start, as long as no leader was heard and each may follow soon; null from then on. */
    private var startAttempts: Int? = if (state.settings.electsAtStart) 0 else null

    /** When the next election is due. */
    var due = nextDeadline(started)
        private set

    /** A leader was heard: the next election is not due before an election time has passed. */
    fun heard(now: Duration) {
        startAttempts = null
        postpone(now)
    }

    private fun postpone(now: Duration) {
        due = nextDeadline(now)
    }

    fun tick(now: Duration) {
        if (state.role == Role.LEADER || now < due) return
        postpone(now)
        if (!state.isActive || state.log.isEmpty || !state.isVoter || state.isRetired(state.id)) return
        state.role = Role.CANDIDATE
        state.leader = null
        isTrial = true
        granted.clear()
        granted += state.id
        ask(now)
    }

    /** Answers [request]. A member that heard a leader less than an election time ago grants nothing. */
    fun onRequest(
        now: Duration,
        call: Long,
        request: VoteRequest,
        hasLease: Boolean,
    ) {
        val isGranted = !request.founding && isVoteAllowed(now, request.candidate, hasLease) && grant(now, request)
        val isSilent = !state.isActive
        val response = VoteResponse(if (isSilent) 0 else state.term, isGranted, state.vote.stage)
        state.outbox.reply(call, PeerResponse.Vote(response))
    }

    fun onAnswer(
        now: Duration,
        from: MemberAddress,
        request: VoteRequest,
        response: VoteResponse,
    ) {
        if (response.term > state.term && !response.granted) {
            state.follow(response.term, null)
            return
        }
        val expected = if (isTrial) state.term + 1 else state.term
        if (state.role != Role.CANDIDATE || request.preVote != isTrial || request.term != expected) return
        if (!response.granted || response.stage != FoundingStage.ACTIVE) return
        granted += from.member
        ask(now)
    }

    /** Goes to the next step if a majority agrees; asks the others at the beginning of a step. */
    private fun ask(now: Duration) {
        if (hasMajority(state.log.voterSets, granted)) return if (isTrial) campaign(now) else onElected(now)
        if (granted.size == 1) sendRequests()
    }

    private fun campaign(now: Duration) {
        state.save(state.vote.copy(term = state.term + 1, votedFor = state.id))
        isTrial = false
        granted.clear()
        granted += state.id
        postpone(now)
        ask(now)
    }

    private fun sendRequests() {
        val term = if (isTrial) state.term + 1 else state.term
        val request = VoteRequest(term, state.id, state.log.lastIndex, state.log.lastTerm, isTrial)
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
        return !hasLease && now - state.heardAt >= state.settings.election
    }

    /** Just after a start, who has let another one stand waits, so that the two don't share the votes. */
    private fun grant(
        now: Duration,
        request: VoteRequest,
    ): Boolean {
        if (request.term < state.term || (request.preVote && request.term == state.term)) return false
        if (request.preVote) return isUpToDate(request).also { if (it && startAttempts != null) postpone(now) }
        if (request.term > state.term) state.follow(request.term, null)
        if (!isUpToDate(request)) return false
        if (state.vote.votedFor != null && state.vote.votedFor != request.candidate) return false
        state.save(state.vote.copy(votedFor = request.candidate))
        postpone(now)
        return true
    }

    private fun isUpToDate(request: VoteRequest) =
        request.lastTerm > state.log.lastTerm ||
            (request.lastTerm == state.log.lastTerm && request.lastIndex >= state.log.lastIndex)

    private fun nextDeadline(now: Duration): Duration {
        val election = state.settings.election
        val attempt = startAttempts ?: return now + election * (1.0 + random.nextDouble())
        val span = state.settings.startSpan(attempt)
        startAttempts = (attempt + 1).takeIf { span < election }
        return now + span * (LEAST_START + random.nextDouble())
    }

    private companion object {
        /** Least part of a span before an election after the start: the links to the others come up meanwhile. */
        const val LEAST_START = 0.5
    }
}
