package io.bluebellramp.replication

import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.AppendRequest
import io.bluebellramp.messages.AppendResponse
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.RecordKind
import io.bluebellramp.messages.SnapshotRequest
import io.bluebellramp.messages.SnapshotResponse
import kotlin.time.Duration

/** Takes records and snapshots from a leader. */
internal class Follower(
    private val state: MemberState,
    private val started: Duration,
    private val onHeard: (Duration) -> Unit,
) {
    private val log get() = state.log
    private val parts = StringBuilder()
    private var partsIndex = 0L
    private var partsTerm = 0L

    fun onAppend(
        now: Duration,
        call: Long,
        request: AppendRequest,
    ) {
        if (isSilent(now, request.leader) ||
            hasLost(request.records)
        ) {
            return reply(call, AppendResponse(0, NO_ROUND, accepted = false, lastIndex = 0))
        }
        if (request.term < state.term) return reject(call, request, log.lastIndex)
        hear(now, request.term, request.leader)
        val retryFrom = mismatch(request)
        if (retryFrom != null) return reject(call, request, retryFrom)
        store(request.records)
        val matched = request.previousIndex + request.records.size
        state.commit(minOf(request.commitIndex, matched))
        reply(call, AppendResponse(state.term, request.round, accepted = true, lastIndex = matched))
    }

    fun onSnapshot(
        now: Duration,
        call: Long,
        request: SnapshotRequest,
    ) {
        if (isSilent(now, request.leader) ||
            hasLost(request.membership)
        ) {
            return reply(call, SnapshotResponse(0, NO_ROUND, 0, installed = false))
        }
        if (request.term < state.term) return reply(call, SnapshotResponse(state.term, request.round, 0, installed = false))
        hear(now, request.term, request.leader)
        val isInstalled = request.lastIndex <= state.commitIndex || collect(request)
        reply(call, SnapshotResponse(state.term, request.round, parts.length, isInstalled))
    }

    /**
     * A member that is not active answers nothing. One that joins with an empty folder answers nothing at first either, until a
     * leader that is no longer followed has stepped down, so that a lost folder can't help it to a majority. Where messages name
     * their receiver that leader's messages are for the former id, and there is nothing to wait for.
     */
    private fun isSilent(
        now: Duration,
        leader: MemberAddress,
    ): Boolean {
        if (state.isRetired(leader.member)) return true
        if (state.vote.joining && log.isEmpty) return !state.settings.namesReceiver && now - started < state.settings.stepDown * 2
        return !state.isActive
    }

    private fun hasLost(records: List<LogRecord>) =
        log.isEmpty && records.any { it.kind == RecordKind.MEMBERSHIP && hasLost(WireJson.decodeFromString<Membership>(it.body)) }

    /** Tells whether this folder is empty though its member votes. A new member is made a voter only after it held records. */
    private fun hasLost(membership: Membership) = log.isEmpty && membership.voters.any { it.member == state.id }

    private fun hear(
        now: Duration,
        term: Long,
        leader: MemberAddress,
    ) {
        if (term > state.term || state.role == Role.CANDIDATE || state.leader != leader) state.follow(term, leader)
        state.role = if (state.isVoter) Role.FOLLOWER else Role.LEARNER
        state.heardAt = now
        onHeard(now)
    }

    /** Returns null if the record before those of [request] matches, or else the index from which the leader should try again. */
    private fun mismatch(request: AppendRequest): Long? {
        val previous = request.previousIndex
        if (previous < log.snapshotIndex) return null
        if (previous > log.lastIndex) return log.lastIndex
        if (log.termAt(previous) == request.previousTerm) return null
        return maxOf(state.commitIndex, log.firstOfTerm(previous) - 1, 1)
    }

    private fun store(records: List<LogRecord>) {
        val added = records.dropWhile { it.index <= log.snapshotIndex || log.termAt(it.index) == it.term }
        val first = added.firstOrNull() ?: return
        if (first.index <= log.lastIndex) {
            check(first.index > state.commitIndex) { "the leader replaces committed record ${first.index}" }
            log.truncateFrom(first.index)
            state.sync.truncated(first.index)
        }
        log.append(added)
        state.outbox.write(StorageWrite.Append(added))
    }

    private fun collect(request: SnapshotRequest): Boolean {
        if (request.lastIndex != partsIndex || request.lastTerm != partsTerm) {
            parts.clear()
            partsIndex = request.lastIndex
            partsTerm = request.lastTerm
        }
        if (request.offset != parts.length) return false
        parts.append(request.body)
        if (!request.last) return false
        state.install(StoredSnapshot(request.lastIndex, request.lastTerm, request.membership, parts.toString()))
        parts.clear()
        partsIndex = 0
        return true
    }

    private fun reject(
        call: Long,
        request: AppendRequest,
        retryFrom: Long,
    ) = reply(call, AppendResponse(state.term, request.round, accepted = false, lastIndex = retryFrom))

    private fun reply(
        call: Long,
        response: AppendResponse,
    ) = state.outbox.reply(call, PeerResponse.Append(response))

    private fun reply(
        call: Long,
        response: SnapshotResponse,
    ) = state.outbox.reply(call, PeerResponse.Snapshot(response))

    private companion object {
        /** No leader sends this round, so the answer counts for nothing. */
        const val NO_ROUND = 0L
    }
}
