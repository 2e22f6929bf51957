package io.bluebellramp.agent

import io.bluebellramp.core.Clock
import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.TaskReference
import java.util.UUID

/** The state of one attempt according to the ledger. */
internal enum class AttemptState {
    /** It has not been dispatched to this agent yet, but may still be. */
    UNSEEN,

    /** It was accepted and has not started. */
    QUEUED,

    /** It has started. */
    STARTED,

    /** It has not started and never will. */
    NOT_RUN,

    /** A later attempt has replaced it. It may have started earlier, but will not start any more. */
    UNKNOWN,
}

/**
 * Records which tasks were accepted, so that none starts twice. No I/O; confined to the coroutine of the core.
 *
 * For each task it keeps the highest attempt, the state of that attempt and whether an earlier one may have started, packed into
 * one number. An attempt that is not higher than the highest is never accepted. A task is removed once its submission may no longer
 * start, one [AgentOptions.submissionTtl] after the time in the id. This limit never moves back, even if the wall clock does.
 */
internal class StartLedger(
    private val clock: Clock,
    private val options: AgentOptions,
) {
    private val mapsByPeriod = HashMap<Long, TaskIntMap>()
    private var oldestRetainedMillis = 0L

    /** Number of tasks in the ledger. */
    val size: Int get() = mapsByPeriod.values.sumOf { it.size }

    /** Memory of the maps (bytes). */
    val bytes: Long get() = mapsByPeriod.values.sumOf { it.bytes }

    /** Accepts the attempt and returns null, or returns why it must not start. */
    fun admit(
        reference: TaskReference,
        idempotent: Boolean,
    ): Refusal? {
        if (!isValid(reference)) return Refusal.INVALID_REFERENCE
        if (!isAcceptable(reference.submission)) return Refusal.ID_OUT_OF_TIME
        val record = record(reference)
        if (record != ABSENT) {
            if (reference.attempt == attempt(record)) return if (state(record) == NOT_RUN) Refusal.FENCED else Refusal.ALREADY_STARTED
            if (reference.attempt < attempt(record)) return Refusal.EARLIER_ATTEMPT
            if (!idempotent && mayHaveStarted(record)) return Refusal.ALREADY_STARTED
        }
        put(reference, QUEUED, earlierMayHaveStarted = record != ABSENT && mayHaveStarted(record))
        return null
    }

    /** Records that an accepted attempt starts now. */
    fun start(reference: TaskReference) = updateState(reference, STARTED)

    /** Prevents the attempt from ever starting. It has no effect on one that has started. */
    fun fence(reference: TaskReference) {
        if (!isValid(reference) || !isRetained(reference.submission)) return
        val record = record(reference)
        when {
            record == ABSENT -> put(reference, NOT_RUN, earlierMayHaveStarted = false)
            reference.attempt > attempt(record) -> put(reference, NOT_RUN, mayHaveStarted(record))
            reference.attempt == attempt(record) && state(record) == QUEUED -> updateState(reference, NOT_RUN)
        }
    }

    /** Records that an attempt recorded as started provably did not reach the target. */
    fun revoke(reference: TaskReference) = updateState(reference, NOT_RUN)

    /** Returns the state of the attempt. */
    fun state(reference: TaskReference): AttemptState {
        if (!isValid(reference)) return AttemptState.NOT_RUN
        if (millis(reference.submission) < oldestRetained()) return AttemptState.UNKNOWN
        val record = record(reference)
        return when {
            record == ABSENT || reference.attempt > attempt(record) -> AttemptState.UNSEEN
            reference.attempt < attempt(record) -> if (earlierMayHaveStarted(record)) AttemptState.UNKNOWN else AttemptState.NOT_RUN
            state(record) == QUEUED -> AttemptState.QUEUED
            state(record) == STARTED -> AttemptState.STARTED
            else -> AttemptState.NOT_RUN
        }
    }

    /** Removes the tasks of submissions that may no longer start. */
    fun expire() {
        val oldestPeriod = oldestRetained() / MAP_PERIOD_MILLIS
        mapsByPeriod.keys.removeIf { it < oldestPeriod }
    }

    private fun updateState(
        reference: TaskReference,
        state: Int,
    ) {
        val record = record(reference)
        if (record == ABSENT) return
        if (attempt(record) == reference.attempt) return put(reference, state, earlierMayHaveStarted(record))
        if (state == STARTED) write(reference, record or EARLIER_MAY_HAVE_STARTED_BIT)
    }

    private fun put(
        reference: TaskReference,
        state: Int,
        earlierMayHaveStarted: Boolean,
    ) {
        val earlierBit = if (earlierMayHaveStarted) EARLIER_MAY_HAVE_STARTED_BIT else 0
        write(reference, (reference.attempt shl ATTEMPT_SHIFT) or earlierBit or state)
    }

    private fun write(
        reference: TaskReference,
        record: Int,
    ) = mapsByPeriod.getOrPut(period(reference.submission)) { TaskIntMap() }.put(key(reference), record)

    private fun record(reference: TaskReference): Int = mapsByPeriod[period(reference.submission)]?.get(key(reference)) ?: ABSENT

    private fun isValid(reference: TaskReference) =
        SubmissionId.parse(reference.submission.value) != null && reference.task >= 0 && reference.attempt in 0..MAX_ATTEMPT

    private fun isAcceptable(submission: SubmissionId): Boolean {
        val latestMillis = clock.wall().toEpochMilli() + options.maxClockSkew.inWholeMilliseconds
        return millis(submission) in oldestRetained()..latestMillis
    }

    private fun isRetained(submission: SubmissionId): Boolean {
        val latestMillis = clock.wall().toEpochMilli() + options.submissionTtl.inWholeMilliseconds
        return millis(submission) in oldestRetained()..latestMillis
    }

    private fun oldestRetained(): Long {
        oldestRetainedMillis = maxOf(oldestRetainedMillis, clock.wall().toEpochMilli() - options.submissionTtl.inWholeMilliseconds)
        return oldestRetainedMillis
    }

    private fun key(reference: TaskReference): TaskKey {
        val id = UUID.fromString(reference.submission.value)
        return TaskKey(high = id.mostSignificantBits, low = id.leastSignificantBits, task = reference.task)
    }

    private fun millis(submission: SubmissionId) = submission.instant.toEpochMilli()

    private fun period(submission: SubmissionId) = millis(submission) / MAP_PERIOD_MILLIS

    private fun attempt(record: Int) = record ushr ATTEMPT_SHIFT

    private fun state(record: Int) = record and STATE_MASK

    private fun earlierMayHaveStarted(record: Int) = record and EARLIER_MAY_HAVE_STARTED_BIT != 0

    private fun mayHaveStarted(record: Int) = earlierMayHaveStarted(record) || state(record) != NOT_RUN

    private companion object {
        /** Period of submission times that share one map, and so are removed together. */
        const val MAP_PERIOD_MILLIS = 60_000L
        const val ABSENT = 0
        const val QUEUED = 1
        const val STARTED = 2
        const val NOT_RUN = 3
        const val STATE_MASK = 3
        const val EARLIER_MAY_HAVE_STARTED_BIT = 4
        const val ATTEMPT_SHIFT = 3
        const val MAX_ATTEMPT = 1_000_000
    }
}
