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

/** Handles the records and snapshots that a leader sends. */
internal class Follower(
    private val state: MemberState,
    private val startedAt: Duration,
    private val onLeaderContact: (Duration) -> Unit,
) {
    private val log get() = state.log
    private val incomingSnapshotBody = StringBuilder()
    private var incomingSnapshotIndex = 0L
    private var incomingSnapshotTerm = 0L

    fun onAppend(
        now: Duration,
        call: Long,
        request: AppendRequest,
    ) {
        if (mustIgnore(now, request.leader) ||
            hasLostState(request.records)
        ) {
            return reply(call, AppendResponse(0, NO_ROUND, accepted = false, lastIndex = 0))
        }
        if (request.term < state.term) return reject(call, request, log.lastIndex)
        acceptLeader(now, request.term, request.leader)
        val retryFrom = conflictIndex(request)
        if (retryFrom != null) return reject(call, request, retryFrom)
        storeRecords(request.records)
        val matchIndex = request.previousIndex + request.records.size
        state.commit(minOf(request.commitIndex, matchIndex))
        reply(call, AppendResponse(state.term, request.round, accepted = true, lastIndex = matchIndex))
    }

    fun onSnapshot(
        now: Duration,
        call: Long,
        request: SnapshotRequest,
    ) {
        if (mustIgnore(now, request.leader) ||
            hasLostState(request.membership)
        ) {
            return reply(call, SnapshotResponse(0, NO_ROUND, 0, installed = false))
        }
        if (request.term < state.term) return reply(call, SnapshotResponse(state.term, request.round, 0, installed = false))
        acceptLeader(now, request.term, request.leader)
        val isInstalled = request.lastIndex <= state.commitIndex || receiveChunk(request)
        reply(call, SnapshotResponse(state.term, request.round, incomingSnapshotBody.length, isInstalled))
    }

    /**
     * Returns true if requests of [leader] must be ignored: always if the leader is retired or this member is not active.
     *
     * A member that joins with an empty folder also ignores them until a leader without a majority must have stepped down. Otherwise a
     * member that lost its folder could restore that leader's majority. With [LogSettings.messagesCarryReceiverId] that leader addresses
     * its requests to the former id of the member, so no wait is needed.
     */
    private fun mustIgnore(
        now: Duration,
        leader: MemberAddress,
    ): Boolean {
        if (state.isRetired(leader.member)) return true
        if (state.vote.joining && log.isEmpty) {
            return !state.settings.messagesCarryReceiverId && now - startedAt < state.settings.stepDownTimeout * 2
        }
        return !state.isActive
    }

    private fun hasLostState(records: List<LogRecord>) =
        log.isEmpty && records.any { it.kind == RecordKind.MEMBERSHIP && hasLostState(WireJson.decodeFromString<Membership>(it.body)) }

    /** Returns true if the log is empty although this member is a voter. A new member becomes a voter only after it has stored records. */
    private fun hasLostState(membership: Membership) = log.isEmpty && membership.voters.any { it.member == state.id }

    private fun acceptLeader(
        now: Duration,
        term: Long,
        leader: MemberAddress,
    ) {
        if (term > state.term || state.role == Role.CANDIDATE || state.leader != leader) state.becomeFollower(term, leader)
        state.role = if (state.isVoter) Role.FOLLOWER else Role.LEARNER
        state.lastLeaderContact = now
        onLeaderContact(now)
    }

    /** Returns null if the record before those of [request] matches this log, or else the last index that may match. */
    private fun conflictIndex(request: AppendRequest): Long? {
        val previous = request.previousIndex
        if (previous < log.snapshotIndex) return null
        if (previous > log.lastIndex) return log.lastIndex
        if (log.termAt(previous) == request.previousTerm) return null
        return maxOf(state.commitIndex, log.firstIndexOfTerm(previous) - 1, 1)
    }

    private fun storeRecords(records: List<LogRecord>) {
        val added = records.dropWhile { it.index <= log.snapshotIndex || log.termAt(it.index) == it.term }
        val first = added.firstOrNull() ?: return
        if (first.index <= log.lastIndex) {
            check(first.index > state.commitIndex) { "the leader replaces committed record ${first.index}" }
            log.truncateFrom(first.index)
            state.syncedIndex.truncateFrom(first.index)
        }
        log.append(added)
        state.outbox.write(StorageWrite.Append(added))
    }

    private fun receiveChunk(request: SnapshotRequest): Boolean {
        if (request.lastIndex != incomingSnapshotIndex || request.lastTerm != incomingSnapshotTerm) {
            incomingSnapshotBody.clear()
            incomingSnapshotIndex = request.lastIndex
            incomingSnapshotTerm = request.lastTerm
        }
        if (request.offset != incomingSnapshotBody.length) return false
        incomingSnapshotBody.append(request.body)
        if (!request.last) return false
        state.installSnapshot(StoredSnapshot(request.lastIndex, request.lastTerm, request.membership, incomingSnapshotBody.toString()))
        incomingSnapshotBody.clear()
        incomingSnapshotIndex = 0
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
        /** No leader uses this round, so it ignores the answer. */
        const val NO_ROUND = 0L
    }
}
