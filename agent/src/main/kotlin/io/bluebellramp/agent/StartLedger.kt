package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.TaskReference
import java.util.UUID

/** What the ledger knows of one attempt. */
internal enum class AttemptState {
    /** It has not been seen, and may come yet. */
    UNSEEN,

    /** It was accepted and has not started. */
    QUEUED,

    /** It has started. */
    STARTED,

    /** It has not started and never will. */
    NOT_RUN,

    /** A later attempt took its place. It may have started, and never will from now on. */
    UNKNOWN,
}

/**
 * Remembers which tasks were accepted, so that none starts twice. No I/O; confined to the coroutine of the core.
 *
 * For each task it keeps the highest attempt, the state of that attempt and whether an earlier one may have started.
 * An attempt that is not higher than the highest is never accepted. A task is forgotten once its submission can't start
 * any more, one [AgentOptions.submissionLife] after the time inside the id; that limit never goes back, also if the wall clock does.
 */
internal class StartLedger(
    private val clock: Clock,
    private val options: AgentOptions,
) {
    private val tables = HashMap<Long, StartTable>()
    private var horizonMillis = 0L

    /** Tasks that the ledger remembers. */
    val size: Int get() = tables.values.sumOf { it.size }

    /** Memory of the tables (bytes). */
    val bytes: Long get() = tables.values.sumOf { it.bytes }

    /** Accepts the attempt and returns null, or tells why it must not start. */
    fun admit(
        reference: TaskReference,
        idempotent: Boolean,
    ): Refusal? {
        if (!isValid(reference)) return Refusal.INVALID_REFERENCE
        if (!isInTime(reference.submission)) return Refusal.ID_OUT_OF_TIME
        val record = record(reference)
        if (record != ABSENT) {
            if (reference.attempt == attempt(record)) return if (state(record) == NOT_RUN) Refusal.FENCED else Refusal.ALREADY_STARTED
            if (reference.attempt < attempt(record)) return Refusal.EARLIER_ATTEMPT
            if (!idempotent && mayHaveStarted(record)) return Refusal.ALREADY_STARTED
        }
        put(reference, QUEUED, earlierMayHaveStarted = record != ABSENT && mayHaveStarted(record))
        return null
    }

    /** Notes that an accepted attempt starts now. */
    fun start(reference: TaskReference) = settle(reference, STARTED)

    /** Makes sure that the attempt never starts. It has no effect on one that has started. */
    fun fence(reference: TaskReference) {
        if (!isValid(reference) || !isRemembered(reference.submission)) return
        val record = record(reference)
        when {
            record == ABSENT -> put(reference, NOT_RUN, earlierMayHaveStarted = false)
            reference.attempt > attempt(record) -> put(reference, NOT_RUN, mayHaveStarted(record))
            reference.attempt == attempt(record) && state(record) == QUEUED -> settle(reference, NOT_RUN)
        }
    }

    /** Notes that an attempt which was to start is proved not to have reached the target. */
    fun revoke(reference: TaskReference) = settle(reference, NOT_RUN)

    /** Returns what is known of the attempt. */
    fun state(reference: TaskReference): AttemptState {
        if (!isValid(reference)) return AttemptState.NOT_RUN
        if (millis(reference.submission) < horizon()) return AttemptState.UNKNOWN
        val record = record(reference)
        return when {
            record == ABSENT || reference.attempt > attempt(record) -> AttemptState.UNSEEN
            reference.attempt < attempt(record) -> if (earlierMayHaveStarted(record)) AttemptState.UNKNOWN else AttemptState.NOT_RUN
            state(record) == QUEUED -> AttemptState.QUEUED
            state(record) == STARTED -> AttemptState.STARTED
            else -> AttemptState.NOT_RUN
        }
    }

    /** Forgets the tasks of submissions that can't start any more. */
    fun expire() {
        val lowest = horizon() / TABLE_MILLIS
        tables.keys.removeIf { it < lowest }
    }

    private fun settle(
        reference: TaskReference,
        state: Int,
    ) {
        val record = record(reference)
        if (record == ABSENT) return
        if (attempt(record) == reference.attempt) return put(reference, state, earlierMayHaveStarted(record))
        if (state == STARTED) write(reference, record or EARLIER_BIT)
    }

    private fun put(
        reference: TaskReference,
        state: Int,
        earlierMayHaveStarted: Boolean,
    ) {
        val earlier = if (earlierMayHaveStarted) EARLIER_BIT else 0
        write(reference, (reference.attempt shl ATTEMPT_SHIFT) or earlier or state)
    }

    private fun write(
        reference: TaskReference,
        record: Int,
    ) = tables.getOrPut(table(reference.submission)) { StartTable() }.put(key(reference), record)

    private fun record(reference: TaskReference): Int = tables[table(reference.submission)]?.get(key(reference)) ?: ABSENT

    private fun isValid(reference: TaskReference) =
        SubmissionId.parse(reference.submission.value) != null && reference.task >= 0 && reference.attempt in 0..MAX_ATTEMPT

    private fun isInTime(submission: SubmissionId): Boolean {
        val latest = clock.wall().toEpochMilli() + options.clockSkew.inWholeMilliseconds
        return millis(submission) in horizon()..latest
    }

    private fun isRemembered(submission: SubmissionId): Boolean {
        val latest = clock.wall().toEpochMilli() + options.submissionLife.inWholeMilliseconds
        return millis(submission) in horizon()..latest
    }

    private fun horizon(): Long {
        horizonMillis = maxOf(horizonMillis, clock.wall().toEpochMilli() - options.submissionLife.inWholeMilliseconds)
        return horizonMillis
    }

    private fun key(reference: TaskReference): TaskKey {
        val id = UUID.fromString(reference.submission.value)
        return TaskKey(high = id.mostSignificantBits, low = id.leastSignificantBits, task = reference.task)
    }

    private fun millis(submission: SubmissionId) = submission.instant.toEpochMilli()

    private fun table(submission: SubmissionId) = millis(submission) / TABLE_MILLIS

    private fun attempt(record: Int) = record ushr ATTEMPT_SHIFT

    private fun state(record: Int) = record and STATE_MASK

    private fun earlierMayHaveStarted(record: Int) = record and EARLIER_BIT != 0

    private fun mayHaveStarted(record: Int) = earlierMayHaveStarted(record) || state(record) != NOT_RUN

    private companion object {
        const val TABLE_MILLIS = 60_000L
        const val ABSENT = 0
        const val QUEUED = 1
        const val STARTED = 2
        const val NOT_RUN = 3
        const val STATE_MASK = 3
        const val EARLIER_BIT = 4
        const val ATTEMPT_SHIFT = 3
        const val MAX_ATTEMPT = 1_000_000
    }
}
