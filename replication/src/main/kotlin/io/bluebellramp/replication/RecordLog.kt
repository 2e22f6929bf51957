package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.RecordKind

/** The log of one member in memory: a snapshot and the records after it. */
internal class RecordLog(
    var snapshot: StoredSnapshot?,
    stored: List<LogRecord>,
) {
    private val records = ArrayList<LogRecord>()
    private val memberships = ArrayList<Membership>()

    init {
        snapshot?.let { memberships += it.membership }
        append(stored)
    }

    val snapshotIndex get() = snapshot?.index ?: 0L
    val lastIndex get() = snapshotIndex + records.size
    val lastTerm get() = records.lastOrNull()?.term ?: snapshot?.term ?: 0L
    val isEmpty get() = lastIndex == 0L

    /** The membership of the last membership record, committed or not. */
    val membership: Membership get() = memberships.lastOrNull() ?: NO_MEMBERS

    /**
     * The sets that each must give a majority: the voters of the last two membership records. So a change of several voters in
     * one record needs a majority of the old and of the new set until a further record confirms it.
     */
    val voterSets: List<Set<MemberId>>
        get() =
            memberships
                .takeLast(2)
                .map { it.ids() }
                .distinct()

    /** True while a change of the voters is not confirmed by a second record. */
    val isJoint get() = voterSets.size > 1

    /** Every member that gets records. */
    val members: List<MemberAddress>
        get() =
            memberships
                .takeLast(2)
                .asReversed()
                .flatMap { it.voters + it.learners }
                .distinctBy { it.member }

    /** Returns the last membership at or before [index]. */
    fun membershipAt(index: Long): Membership = memberships.lastOrNull { it.index <= index } ?: NO_MEMBERS

    /** Returns the term of the record at [index], or null if this log does not know it. */
    fun termAt(index: Long): Long? =
        when {
            index == 0L -> 0L
            index == snapshotIndex -> snapshot?.term
            index < snapshotIndex || index > lastIndex -> null
            else -> record(index).term
        }

    fun record(index: Long): LogRecord = records[(index - snapshotIndex - 1).toInt()]

    /** Returns the records from [index] on, [limit] and [MOST_CHARACTERS] at most, but one at least unless [limit] is 0. */
    fun batch(
        index: Long,
        limit: Int,
    ): List<LogRecord> {
        var characters = 0
        return from(index, limit).takeWhile { record ->
            val isFirst = record.index == index
            characters += record.body.length
            isFirst || characters <= MOST_CHARACTERS
        }
    }

    /** Returns the records from [index] on, [limit] at most. */
    fun from(
        index: Long,
        limit: Int = Int.MAX_VALUE,
    ): List<LogRecord> {
        val start = (index - snapshotIndex - 1).toInt()
        val end = minOf(records.size.toLong(), start.toLong() + limit).toInt()
        return if (start >= end) emptyList() else ArrayList(records.subList(start, end))
    }

    fun append(added: List<LogRecord>) {
        for (record in added) {
            check(record.index == lastIndex + 1) { "record ${record.index} does not follow $lastIndex" }
            records += record
            if (record.kind == RecordKind.MEMBERSHIP) memberships += WireJson.decodeFromString<Membership>(record.body)
        }
    }

    fun truncateFrom(index: Long) {
        while (lastIndex >= index && records.isNotEmpty()) records.removeLast()
        memberships.removeAll { it.index >= index && it.index > snapshotIndex }
    }

    /** Replaces everything up to the index of [next] by it, and the rest too unless it continues [next]. */
    fun restart(next: StoredSnapshot) {
        val remaining = if (termAt(next.index) == next.term) from(next.index + 1) else emptyList()
        records.clear()
        memberships.clear()
        snapshot = next
        memberships += next.membership
        append(remaining)
    }

    /** Returns the first index of the run of records with the term of [index]. */
    fun firstOfTerm(index: Long): Long {
        val term = termAt(index)
        var first = index
        while (first - 1 > snapshotIndex && termAt(first - 1) == term) first--
        return first
    }

    private companion object {
        /** Length of the bodies in one request (characters). */
        const val MOST_CHARACTERS = 1_048_576
        val NO_MEMBERS = Membership(0, emptyList(), emptyList(), emptyList())
    }
}

/** The ids of the voters. */
internal fun Membership.ids(): Set<MemberId> = voters.map { it.member }.toSet()
