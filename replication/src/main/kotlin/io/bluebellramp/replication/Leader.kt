package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.RecordKind
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import kotlin.time.Duration

/** Replicates the log to the other members, advances the commit index, and tracks the leader's lease. */
internal class Leader(
    private val state: MemberState,
) {
    private class Progress(
        var nextIndex: Long,
    ) {
        var matchIndex = 0L

        /** When the unanswered records or snapshot part were sent, or null if all are answered. */
        var unansweredSince: Duration? = null

        /** When the latest answered request was sent. */
        var lastContactAt: Duration? = null
        var snapshotIndex = 0L
        var offset = 0

        /** True if the last request got no valid answer. The next one is sent with the next heartbeat. */
        var isUnresponsive = false

        /** True for a voter with an empty log: it has lost its data folder and gets no records. */
        var hasLostState = false
    }

    private val log get() = state.log
    private val progressByMember = HashMap<MemberId, Progress>()
    private val roundSentAt = LinkedHashMap<Long, Duration>()
    private var round = 0L
    private var noOpIndex = 0L
    private var electedAt = Duration.ZERO
    private var lastHeartbeatAt = Duration.ZERO

    /** True once this leader has applied a record of its own term. */
    val hasAppliedOwnTerm get() = state.role == Role.LEADER && state.appliedIndex >= noOpIndex

    /** The time of the next heartbeat. */
    val nextHeartbeatAt get() = lastHeartbeatAt + state.settings.heartbeatInterval

    fun becomeLeader(now: Duration) {
        state.role = Role.LEADER
        state.leader = state.self
        progressByMember.clear()
        roundSentAt.clear()
        electedAt = now
        peers().forEach { progressOf(it.member) }
        noOpIndex = state.append(RecordKind.NO_OP, "")
        sendHeartbeats(now)
    }

    fun onTick(now: Duration) {
        if (state.role != Role.LEADER) return
        val lastContactAt = majorityContactAt(now) ?: electedAt
        if (now - lastContactAt > state.settings.stepDownTimeout) return state.becomeFollower(state.term, null)
        if (now >= nextHeartbeatAt) sendHeartbeats(now)
    }

    /** Returns the time at which the lease ends unless further requests are answered, or null if there is no lease. */
    fun leaseEnd(now: Duration): Duration? {
        if (!hasAppliedOwnTerm) return null
        return majorityContactAt(now)?.let { it + state.settings.leaseDuration }
    }

    /** Commits the records that a majority has synced, and sends new records to each member that has answered the previous ones. */
    fun commitAndReplicate(now: Duration) {
        if (state.role != Role.LEADER) return
        advanceCommitIndex()
        for (peer in peers()) {
            val progress = progressOf(peer.member)
            val isReady = progress.unansweredSince == null && !progress.isUnresponsive && !progress.hasLostState
            if (isReady && progress.nextIndex <= log.lastIndex) send(now, peer, progress)
        }
    }

    fun onAppendResponse(
        from: MemberAddress,
        request: AppendRequest,
        response: AppendResponse?,
    ) {
        val progress = currentProgressOf(from, request.term) ?: return
        if (request.records.isNotEmpty()) progress.unansweredSince = null
        progress.isUnresponsive = response == null || response.round != request.round || response.term != state.term
        if (response == null || progress.isUnresponsive) return
        if (response.accepted) {
            updateMatchIndex(progress, response.lastIndex)
        } else if (!backtrack(from, progress, request, response)) {
            return
        }
        updateLastContact(progress, request.round)
    }

    fun onSnapshotResponse(
        from: MemberAddress,
        request: SnapshotRequest,
        response: SnapshotResponse?,
    ) {
        val progress = currentProgressOf(from, request.term) ?: return
        progress.unansweredSince = null
        progress.isUnresponsive = response == null || response.round != request.round || response.term != state.term
        if (response == null || progress.isUnresponsive) return
        updateLastContact(progress, request.round)
        if (response.installed) {
            updateMatchIndex(progress, request.lastIndex)
        } else if (request.lastIndex == progress.snapshotIndex) {
            progress.offset = response.nextOffset
        }
    }

    /** Returns the last index known to be synced, by member. */
    fun matchIndexes(): Map<String, Long> =
        log.members.associate {
            it.member.value to if (it.member == state.id) state.syncedIndex.index else progressByMember[it.member]?.matchIndex ?: 0L
        }

    fun matchIndexOf(member: MemberId): Long = progressByMember[member]?.matchIndex ?: 0L

    /** Returns when the latest request that [member] has answered was sent, or null if there is none. */
    fun lastContactAt(member: MemberId): Duration? = progressByMember[member]?.lastContactAt

    private fun peers() = log.members.filter { it.member != state.id }

    private fun progressOf(member: MemberId) = progressByMember.getOrPut(member) { Progress(log.lastIndex + 1) }

    private fun currentProgressOf(
        from: MemberAddress,
        term: Long,
    ) = if (state.role == Role.LEADER && term == state.term) progressByMember[from.member] else null

    private fun updateMatchIndex(
        progress: Progress,
        match: Long,
    ) {
        progress.hasLostState = false
        progress.matchIndex = maxOf(progress.matchIndex, match)
        progress.nextIndex = maxOf(progress.nextIndex, progress.matchIndex + 1)
    }

    private fun isVoter(member: MemberId) = log.voterSets.any { member in it }

    /** Sends a request to every member; the answers of a majority extend the lease. */
    private fun sendHeartbeats(now: Duration) {
        lastHeartbeatAt = now
        for (peer in peers()) {
            val progress = progressOf(peer.member)
            val isAwaitingAnswer = progress.unansweredSince?.let { now - it < state.settings.electionTimeout } ?: false
            if (isAwaitingAnswer || progress.hasLostState) sendRecords(now, peer, progress, limit = 0) else send(now, peer, progress)
        }
    }

    private fun send(
        now: Duration,
        peer: MemberAddress,
        progress: Progress,
    ) {
        val isBehind = progress.nextIndex <= log.snapshotIndex
        if (isBehind) sendSnapshot(now, peer, progress) else sendRecords(now, peer, progress, MAX_RECORDS_PER_REQUEST)
    }

    private fun sendRecords(
        now: Duration,
        peer: MemberAddress,
        progress: Progress,
        limit: Int,
    ) {
        val start = if (limit == 0 && progress.matchIndex > 0) progress.matchIndex else progress.nextIndex - 1
        val previous = maxOf(start, log.snapshotIndex)
        val term = checkNotNull(log.termAt(previous)) { "no term of record $previous" }
        val records = log.batch(previous + 1, limit)
        if (records.isNotEmpty()) progress.unansweredSince = now
        val request = AppendRequest(state.term, state.self, nextRound(now), previous, term, records, state.commitIndex)
        state.outbox.send(peer, PeerRequest.Append(request))
    }

    private fun sendSnapshot(
        now: Duration,
        peer: MemberAddress,
        progress: Progress,
    ) {
        val snapshot = checkNotNull(log.snapshot)
        if (progress.snapshotIndex != snapshot.index) {
            progress.snapshotIndex = snapshot.index
            progress.offset = 0
        }
        val start = minOf(progress.offset, snapshot.body.length)
        val end = minOf(start + state.settings.maxSnapshotChunkCharacters, snapshot.body.length)
        val chunk = snapshot.body.substring(start, end)
        val isLast = end == snapshot.body.length
        val request =
            SnapshotRequest(
                term = state.term,
                leader = state.self,
                round = nextRound(now),
                lastIndex = snapshot.index,
                lastTerm = snapshot.term,
                membership = snapshot.membership,
                offset = start,
                body = chunk,
                last = isLast,
            )
        progress.unansweredSince = now
        state.outbox.send(peer, PeerRequest.Snapshot(request))
    }

    private fun nextRound(now: Duration): Long {
        roundSentAt[++round] = now
        if (roundSentAt.size > MAX_TRACKED_ROUNDS) roundSentAt.remove(roundSentAt.keys.first())
        return round
    }

    /**
     * Moves the next index back as [response] asks. Returns false if the answer must be ignored: the voter has lost its state, or the
     * answer is outdated.
     */
    private fun backtrack(
        from: MemberAddress,
        progress: Progress,
        request: AppendRequest,
        response: AppendResponse,
    ): Boolean {
        progress.hasLostState = response.lastIndex == 0L && isVoter(from.member)
        if (progress.hasLostState || request.previousIndex <= progress.matchIndex) return false
        progress.nextIndex = maxOf(progress.matchIndex + 1, minOf(request.previousIndex, response.lastIndex + 1))
        return true
    }

    private fun updateLastContact(
        progress: Progress,
        round: Long,
    ) {
        val contactAt = roundSentAt[round] ?: return
        progress.lastContactAt = progress.lastContactAt?.coerceAtLeast(contactAt) ?: contactAt
    }

    /** Returns the latest time such that a majority has answered requests sent then or later, or null if there is none. */
    private fun majorityContactAt(now: Duration): Duration? =
        majorityValue(log.voterSets) { if (it == state.id) now else progressByMember[it]?.lastContactAt }

    private fun advanceCommitIndex() {
        val index = majorityValue(log.voterSets) { if (it == state.id) state.syncedIndex.index else matchIndexOf(it) } ?: return
        if (index > state.commitIndex && log.termAt(index) == state.term) state.commit(index)
    }

    private companion object {
        const val MAX_RECORDS_PER_REQUEST = 512
        const val MAX_TRACKED_ROUNDS = 4096
    }
}
