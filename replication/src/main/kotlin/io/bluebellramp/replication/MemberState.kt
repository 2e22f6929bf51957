package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.RecordKind
import kotlin.time.Duration

/** The state of a member that the parts of [RaftCore] share. */
internal class MemberState(
    val self: MemberAddress,
    val settings: LogSettings,
    val stateMachine: StateMachine,
    stored: StoredState,
    startedAt: Duration,
) {
    val outbox = Outbox()
    val log = RecordLog(stored.snapshot, stored.records)
    val syncedIndex = SyncedIndex(log.lastIndex)

    /** The uncommitted proposals of this leader: proposal by index of its record. */
    val pendingProposals = HashMap<Long, Long>()

    var vote = stored.vote ?: VoteState(self.member)
    var role = Role.FOLLOWER
    var leader: MemberAddress? = null

    /**
     * The time of the last message from a leader. A restarted member has forgotten it. Unless [LogSettings.electsAtStart] is set, it
     * assumes that a leader contacted it just before its start, so that it does not break a lease.
     */
    var lastLeaderContact = if (settings.electsAtStart) startedAt - settings.electionTimeout else startedAt
    var commitIndex = log.snapshotIndex
    var appliedIndex = log.snapshotIndex

    init {
        stored.snapshot?.let { stateMachine.restore(it.body) }
    }

    val id: MemberId get() = self.member
    val term get() = vote.term
    val isActive get() = vote.stage == BootstrapStage.ACTIVE
    val isVoter get() = log.membership.voters.any { it.member == id }

    /** Returns true if the committed membership lists [member] as retired. */
    fun isRetired(member: MemberId) = member in log.membershipAt(commitIndex).retired

    fun saveVote(next: VoteState) {
        if (next == vote) return
        vote = next
        outbox.write(StorageWrite.Vote(next))
    }

    /** Becomes a follower of [next], null if unknown, in [term]. A new term clears the vote, and pending proposals end as unknown. */
    fun becomeFollower(
        term: Long,
        next: MemberAddress?,
    ) {
        if (term > vote.term) saveVote(vote.copy(term = term, votedFor = null))
        abandonProposals()
        role = Role.FOLLOWER
        leader = next
    }

    /** Returns whether [command] fits beside the uncommitted records. Without any it always does. */
    fun hasRoomFor(command: String): Boolean {
        val uncommitted = log.characters(commitIndex + 1, log.lastIndex)
        return uncommitted == 0L || uncommitted + command.length <= settings.maxUncommittedCharacters
    }

    /** Appends a record of the current term and returns its index. */
    fun append(
        kind: RecordKind,
        body: String,
    ): Long {
        val record = LogRecord(log.lastIndex + 1, term, kind, body)
        log.append(listOf(record))
        outbox.write(StorageWrite.Append(listOf(record)))
        return record.index
    }

    /** Raises the commit index to [index] and applies the newly committed records. */
    fun commit(index: Long) {
        if (index <= commitIndex) return
        commitIndex = index
        while (appliedIndex < commitIndex) apply(log.record(appliedIndex + 1))
        compactLog()
    }

    /** Installs [snapshot], which is ahead of the commit index. */
    fun installSnapshot(snapshot: StoredSnapshot) {
        log.resetToSnapshot(snapshot)
        syncedIndex.truncateFrom(snapshot.index + 1)
        stateMachine.restore(snapshot.body)
        commitIndex = snapshot.index
        appliedIndex = snapshot.index
        outbox.write(StorageWrite.Snapshot(snapshot, log.recordsFrom(snapshot.index + 1)))
    }

    private fun apply(record: LogRecord) {
        val answer = if (record.kind == RecordKind.COMMAND) stateMachine.apply(record.index, record.body) else ""
        appliedIndex = record.index
        val proposal = pendingProposals.remove(record.index) ?: return
        outbox.completeProposal(proposal, ProposalResult.Applied(record.index, answer))
    }

    /**
     * Replaces the applied records by a snapshot if there are enough of them. Not while a change of the voters is unconfirmed: the
     * snapshot would hide that both the old and the new majority are needed.
     */
    private fun compactLog() {
        if (log.isJoint || !hasEnoughForSnapshot()) return
        val term = checkNotNull(log.termAt(appliedIndex))
        val snapshot = StoredSnapshot(appliedIndex, term, log.membershipAt(appliedIndex), stateMachine.snapshot())
        log.resetToSnapshot(snapshot)
        outbox.write(StorageWrite.Snapshot(snapshot, log.recordsFrom(appliedIndex + 1)))
    }

    private fun hasEnoughForSnapshot(): Boolean {
        val records = appliedIndex - log.snapshotIndex
        if (records >= staggered(settings.snapshotRecords)) return true
        // A snapshot that is larger than the records it replaces would cost more than it saves.
        val least = maxOf(staggered(settings.snapshotCharacters), log.snapshot?.body?.length ?: 0)
        return records > 0 && log.characters(log.snapshotIndex + 1, appliedIndex) >= least
    }

    /** Differs by member, so that the members take snapshots at different indexes and a majority can sync records meanwhile. */
    private fun staggered(threshold: Int): Int {
        val position = log.membership.voters.indexOfFirst { it.member == id }
        return threshold + threshold / SNAPSHOT_STAGGER_DIVISOR * (position + 1)
    }

    private fun abandonProposals() {
        pendingProposals.values.forEach { outbox.completeProposal(it, ProposalResult.Unknown) }
        pendingProposals.clear()
    }

    private companion object {
        const val SNAPSHOT_STAGGER_DIVISOR = 8
    }
}
