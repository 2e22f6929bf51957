package io.bluebellramp.replication

import io.bluebellramp.core.MemberId
import io.bluebellramp.core.WireJson
import io.bluebellramp.messages.LogRecord
import io.bluebellramp.messages.MemberAddress
import io.bluebellramp.messages.Membership
import io.bluebellramp.messages.RecordKind

/** The log of one member in memory: the latest snapshot and the records after it. */
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

    /** The membership in the last membership record, whether it is committed or not. */
    val membership: Membership get() = memberships.lastOrNull() ?: EMPTY_MEMBERSHIP

    /**
     * The voters of each of the last two membership records; elections and commits need a majority of each set. So a record that
     * changes several voters needs a majority of the old and of the new voters until a second record confirms the change.
     */
    val voterSets: List<Set<MemberId>>
        get() =
            memberships
                .takeLast(2)
                .map { it.voterIds() }
                .distinct()

    /** True while no second record has confirmed a change of the voters, so that old and new voters count (joint consensus). */
    val isJoint get() = voterSets.size > 1

    /** All voters and learners, those of an unconfirmed change included. The leader sends records to each of them. */
    val members: List<MemberAddress>
        get() =
            memberships
                .takeLast(2)
                .asReversed()
                .flatMap { it.voters + it.learners }
                .distinctBy { it.member }

    /** Returns the membership in force at [index]. */
    fun membershipAt(index: Long): Membership = memberships.lastOrNull { it.index <= index } ?: EMPTY_MEMBERSHIP

    /** Returns the term of the record at [index], or null if this log does not know it. */
    fun termAt(index: Long): Long? =
        when {
            index == 0L -> 0L
            index == snapshotIndex -> snapshot?.term
            index < snapshotIndex || index > lastIndex -> null
            else -> record(index).term
        }

    fun record(index: Long): LogRecord = records[(index - snapshotIndex - 1).toInt()]

    /** Returns the records from [index] on: at most [limit] and [MAX_BATCH_CHARACTERS], but at least one unless [limit] is 0. */
    fun batch(
        index: Long,
        limit: Int,
    ): List<LogRecord> {
        var characters = 0
        return recordsFrom(index, limit).takeWhile { record ->
            val isFirst = record.index == index
            characters += record.body.length
            isFirst || characters <= MAX_BATCH_CHARACTERS
        }
    }

    /** Returns at most [limit] records from [index] on. */
    fun recordsFrom(
        index: Long,
        limit: Int = Int.MAX_VALUE,
    ): List<LogRecord> {
        val start = (index - snapshotIndex - 1).toInt()
        val end = minOf(records.size.toLong(), start.toLong() + limit).toInt()
        return if (start >= end) emptyList() else ArrayList(records.subList(start, end))
    }

    /** Returns the size of the bodies of the records from [first] to [last] (characters). */
    fun characters(
        first: Long,
        last: Long,
    ): Long = (first..last).sumOf { record(it).body.length.toLong() }

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

    /** Replaces all records up to the index of [next] by [next]. Keeps the later ones only if the log agrees with [next] at its index. */
    fun resetToSnapshot(next: StoredSnapshot) {
        val remaining = if (termAt(next.index) == next.term) recordsFrom(next.index + 1) else emptyList()
        records.clear()
        memberships.clear()
        snapshot = next
        memberships += next.membership
        append(remaining)
    }

    /** Returns the index of the first record that has the same term as the one at [index]. */
    fun firstIndexOfTerm(index: Long): Long {
        val term = termAt(index)
        var first = index
        while (first - 1 > snapshotIndex && termAt(first - 1) == term) first--
        return first
    }

    private companion object {
        /** Limit for the bodies of all records in one request. */
        const val MAX_BATCH_CHARACTERS = 1_048_576
        val EMPTY_MEMBERSHIP = Membership(0, emptyList(), emptyList(), emptyList())
    }
}

/** The ids of the voters. */
internal fun Membership.voterIds(): Set<MemberId> = voters.map { it.member }.toSet()
