package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.RecordKind
import kotlin.time.Duration

/** The state that the parts of [RaftCore] share. */
internal class MemberState(
    val self: MemberAddress,
    val settings: LogSettings,
    val machine: StateMachine,
    stored: StoredState,
    started: Duration,
) {
    val outbox = Outbox()
    val log = RecordLog(stored.snapshot, stored.records)
    val sync = SyncedIndex(log.lastIndex)
    val pending = HashMap<Long, Long>()
    var vote = stored.vote ?: VoteState(self.member)
    var role = Role.FOLLOWER
    var leader: MemberAddress? = null

    /** When this member last heard a leader. Where leases count, it counts from the start, since what it heard before is forgotten. */
    var heardAt = if (settings.electsAtStart) started - settings.election else started
    var commitIndex = log.snapshotIndex
    var appliedIndex = log.snapshotIndex

    init {
        stored.snapshot?.let { machine.restore(it.body) }
    }

    val id: MemberId get() = self.member
    val term get() = vote.term
    val isActive get() = vote.stage == FoundingStage.ACTIVE
    val isVoter get() = log.membership.voters.any { it.member == id }

    /** Tells whether [member] is retired by a committed membership. */
    fun isRetired(member: MemberId) = member in log.membershipAt(commitIndex).retired

    fun save(next: VoteState) {
        if (next == vote) return
        vote = next
        outbox.write(StorageWrite.Vote(next))
    }

    /** Follows [next] in [term]; drops the vote if the term is new. */
    fun follow(
        term: Long,
        next: MemberAddress?,
    ) {
        if (term > vote.term) save(vote.copy(term = term, votedFor = null))
        abandon()
        role = Role.FOLLOWER
        leader = next
    }

    /** Appends a record of the own term and returns its index. */
    fun append(
        kind: RecordKind,
        body: String,
    ): Long {
        val record = LogRecord(log.lastIndex + 1, term, kind, body)
        log.append(listOf(record))
        outbox.write(StorageWrite.Append(listOf(record)))
        return record.index
    }

    /** Commits up to [index] and applies what is new. */
    fun commit(index: Long) {
        if (index <= commitIndex) return
        commitIndex = index
        while (appliedIndex < commitIndex) apply(log.record(appliedIndex + 1))
        compact()
    }

    /** Takes over [snapshot], which is ahead of the commit index. */
    fun install(snapshot: StoredSnapshot) {
        log.restart(snapshot)
        sync.truncated(snapshot.index + 1)
        machine.restore(snapshot.body)
        commitIndex = snapshot.index
        appliedIndex = snapshot.index
        outbox.write(StorageWrite.Snapshot(snapshot, log.from(snapshot.index + 1)))
    }

    private fun apply(record: LogRecord) {
        val answer = if (record.kind == RecordKind.COMMAND) machine.apply(record.index, record.body) else ""
        appliedIndex = record.index
        val proposal = pending.remove(record.index) ?: return
        outbox.finish(proposal, ProposalResult.Applied(record.index, answer))
    }

    /** A change of the voters that is not confirmed stays in the log: a snapshot would hide that it needs both majorities. */
    private fun compact() {
        if (log.isJoint || appliedIndex - log.snapshotIndex < snapshotRecords()) return
        val term = checkNotNull(log.termAt(appliedIndex))
        val snapshot = StoredSnapshot(appliedIndex, term, log.membershipAt(appliedIndex), machine.snapshot())
        log.restart(snapshot)
        outbox.write(StorageWrite.Snapshot(snapshot, log.from(appliedIndex + 1)))
    }

    /** Each member takes its snapshots at other indexes, so that a majority goes on syncing records meanwhile. */
    private fun snapshotRecords(): Int {
        val position = log.membership.voters.indexOfFirst { it.member == id }
        return settings.snapshotRecords + settings.snapshotRecords * (position + 1) / SNAPSHOT_SPREAD
    }

    private fun abandon() {
        pending.values.forEach { outbox.finish(it, ProposalResult.Unknown) }
        pending.clear()
    }

    private companion object {
        const val SNAPSHOT_SPREAD = 8
    }
}
