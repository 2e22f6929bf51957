package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.RecordKind
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import kotlin.time.Duration

/** Sends records to the other members, counts what is synced, and keeps the lease. */
internal class Leader(
    private val state: MemberState,
) {
    private class Progress(
        var next: Long,
    ) {
        var match = 0L

        /** When records were sent that are not answered yet. */
        var sentAt: Duration? = null

        /** When the last answered round was sent. */
        var confirmedAt: Duration? = null
        var snapshotIndex = 0L
        var offset = 0

        /** True if the last request got no answer: the next one waits for the heartbeat. */
        var isFailing = false

        /** True for a voter that holds nothing: it has lost its folder and gets no records. */
        var isEmpty = false
    }

    private val log get() = state.log
    private val progress = HashMap<MemberId, Progress>()
    private val sentAt = LinkedHashMap<Long, Duration>()
    private var round = 0L
    private var noOpIndex = 0L
    private var electedAt = Duration.ZERO
    private var beatAt = Duration.ZERO

    /** True once a record of the own term is applied. */
    val isConfirmed get() = state.role == Role.LEADER && state.appliedIndex >= noOpIndex

    /** When the next heartbeat is due. */
    val due get() = beatAt + state.settings.heartbeat

    fun start(now: Duration) {
        state.role = Role.LEADER
        state.leader = state.self
        progress.clear()
        sentAt.clear()
        electedAt = now
        peers().forEach { progressOf(it.member) }
        noOpIndex = state.append(RecordKind.NO_OP, "")
        beat(now)
    }

    fun tick(now: Duration) {
        if (state.role != Role.LEADER) return
        val heard = confirmedAt(now) ?: electedAt
        if (now - heard > state.settings.stepDown) return state.follow(state.term, null)
        if (now >= due) beat(now)
    }

    /** Returns the time at which the lease ends if no further round is answered, or null without a lease. */
    fun leaseEnd(now: Duration): Duration? {
        if (!isConfirmed) return null
        return confirmedAt(now)?.let { it + state.settings.lease }
    }

    /** Commits what a majority has synced and sends new records to each member that has answered the last ones. */
    fun flush(now: Duration) {
        if (state.role != Role.LEADER) return
        commit()
        for (peer in peers()) {
            val known = progressOf(peer.member)
            val isReady = known.sentAt == null && !known.isFailing && !known.isEmpty
            if (isReady && known.next <= log.lastIndex) send(now, peer, known)
        }
    }

    fun onAppendAnswer(
        from: MemberAddress,
        request: AppendRequest,
        response: AppendResponse?,
    ) {
        val known = progressFor(from, request.term) ?: return
        if (request.records.isNotEmpty()) known.sentAt = null
        known.isFailing = response == null || response.round != request.round || response.term != state.term
        if (response == null || known.isFailing) return
        if (response.accepted) {
            advance(known, response.lastIndex)
        } else if (!retry(from, known, request, response)) {
            return
        }
        confirm(known, request.round)
    }

    fun onSnapshotAnswer(
        from: MemberAddress,
        request: SnapshotRequest,
        response: SnapshotResponse?,
    ) {
        val known = progressFor(from, request.term) ?: return
        known.sentAt = null
        known.isFailing = response == null || response.round != request.round || response.term != state.term
        if (response == null || known.isFailing) return
        confirm(known, request.round)
        if (response.installed) {
            advance(known, request.lastIndex)
        } else if (request.lastIndex == known.snapshotIndex) {
            known.offset = response.nextOffset
        }
    }

    /** Last synced index by member. */
    fun matches(): Map<String, Long> =
        log.members.associate { it.member.value to if (it.member == state.id) state.sync.index else progress[it.member]?.match ?: 0L }

    fun matchOf(member: MemberId): Long = progress[member]?.match ?: 0L

    /** Returns when the last request was sent that [member] answered, or null. */
    fun heardFrom(member: MemberId): Duration? = progress[member]?.confirmedAt

    private fun peers() = log.members.filter { it.member != state.id }

    private fun progressOf(member: MemberId) = progress.getOrPut(member) { Progress(log.lastIndex + 1) }

    private fun progressFor(
        from: MemberAddress,
        term: Long,
    ) = if (state.role == Role.LEADER && term == state.term) progress[from.member] else null

    private fun advance(
        known: Progress,
        match: Long,
    ) {
        known.isEmpty = false
        known.match = maxOf(known.match, match)
        known.next = maxOf(known.next, known.match + 1)
    }

    private fun isVoter(member: MemberId) = log.voterSets.any { member in it }

    /** Starts a round: every member gets a request, so that its answer confirms the leader. */
    private fun beat(now: Duration) {
        beatAt = now
        for (peer in peers()) {
            val known = progressOf(peer.member)
            val isWaiting = known.sentAt?.let { now - it < state.settings.election } ?: false
            if (isWaiting || known.isEmpty) sendRecords(now, peer, known, limit = 0) else send(now, peer, known)
        }
    }

    private fun send(
        now: Duration,
        peer: MemberAddress,
        known: Progress,
    ) {
        val isBehind = known.next <= log.snapshotIndex
        if (isBehind) sendSnapshot(now, peer, known) else sendRecords(now, peer, known, MOST_RECORDS)
    }

    private fun sendRecords(
        now: Duration,
        peer: MemberAddress,
        known: Progress,
        limit: Int,
    ) {
        val start = if (limit == 0 && known.match > 0) known.match else known.next - 1
        val previous = maxOf(start, log.snapshotIndex)
        val term = checkNotNull(log.termAt(previous)) { "no term of record $previous" }
        val records = log.batch(previous + 1, limit)
        if (records.isNotEmpty()) known.sentAt = now
        val request = AppendRequest(state.term, state.self, nextRound(now), previous, term, records, state.commitIndex)
        state.outbox.send(peer, PeerRequest.Append(request))
    }

    private fun sendSnapshot(
        now: Duration,
        peer: MemberAddress,
        known: Progress,
    ) {
        val snapshot = checkNotNull(log.snapshot)
        if (known.snapshotIndex != snapshot.index) {
            known.snapshotIndex = snapshot.index
            known.offset = 0
        }
        val start = minOf(known.offset, snapshot.body.length)
        val end = minOf(start + state.settings.snapshotPart, snapshot.body.length)
        val part = snapshot.body.substring(start, end)
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
                body = part,
                last = isLast,
            )
        known.sentAt = now
        state.outbox.send(peer, PeerRequest.Snapshot(request))
    }

    private fun nextRound(now: Duration): Long {
        sentAt[++round] = now
        if (sentAt.size > MOST_ROUNDS) sentAt.remove(sentAt.keys.first())
        return round
    }

    /** Moves back to where [response] tells. Returns false if the answer counts for nothing. */
    private fun retry(
        from: MemberAddress,
        known: Progress,
        request: AppendRequest,
        response: AppendResponse,
    ): Boolean {
        known.isEmpty = response.lastIndex == 0L && isVoter(from.member)
        if (known.isEmpty || request.previousIndex <= known.match) return false
        known.next = maxOf(known.match + 1, minOf(request.previousIndex, response.lastIndex + 1))
        return true
    }

    private fun confirm(
        known: Progress,
        round: Long,
    ) {
        val sent = sentAt[round] ?: return
        known.confirmedAt = known.confirmedAt?.coerceAtLeast(sent) ?: sent
    }

    /** Returns when the last round was sent that a majority answered. */
    private fun confirmedAt(now: Duration): Duration? =
        majorityValue(log.voterSets) { if (it == state.id) now else progress[it]?.confirmedAt }

    private fun commit() {
        val index = majorityValue(log.voterSets) { if (it == state.id) state.sync.index else matchOf(it) } ?: return
        if (index > state.commitIndex && log.termAt(index) == state.term) state.commit(index)
    }

    private companion object {
        const val MOST_RECORDS = 512
        const val MOST_ROUNDS = 4096
    }
}
