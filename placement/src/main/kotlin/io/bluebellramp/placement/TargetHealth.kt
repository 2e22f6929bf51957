package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Ejects targets that fail one task after another, so that a worker that fails everything does not pull in the work.
 *
 * An ejected target is tried with a single task after a back-off that doubles with each failed trial, and returns when a trial
 * succeeds. Never more than a third of the targets are ejected at once. No I/O, one thread at a time.
 *
 * @param failuresToEject consecutive failures that eject a target
 * @param firstBackOff time until the first trial
 * @param longestBackOff longest time between trials
 */
class TargetHealth(
    private val failuresToEject: Int = FAILURES_TO_EJECT,
    private val firstBackOff: Duration = FIRST_BACK_OFF,
    private val longestBackOff: Duration = LONGEST_BACK_OFF,
) {
    private class Record {
        var failures = 0
        var backOff = Duration.ZERO
        var ejectedUntil: Duration? = null
        var onTrial = false
    }

    private val records = LinkedHashMap<TargetId, Record>()

    /** Targets that are ejected. */
    val ejected: Set<TargetId> get() = records.filterValues { it.ejectedUntil != null }.keys

    /** Notes that [target] is there. */
    fun joined(target: TargetId) {
        records.getOrPut(target) { Record() }
    }

    /** Forgets that [target] was there. An ejected target stays ejected when it comes back. */
    fun left(target: TargetId) {
        val record = records[target] ?: return
        record.onTrial = false
        if (record.ejectedUntil == null) records.remove(target)
    }

    /** Tells whether a task may go to [target] now, be it as a trial. */
    fun mayUse(
        target: TargetId,
        now: Duration,
    ): Boolean {
        val record = records[target] ?: return true
        val until = record.ejectedUntil ?: return true
        return now >= until && !record.onTrial
    }

    /** Notes that a task goes to [target]. */
    fun used(target: TargetId) {
        val record = records[target] ?: return
        if (record.ejectedUntil != null) record.onTrial = true
    }

    /** Notes that the task last sent to [target] did not start, which tells nothing of its health. */
    fun unused(target: TargetId) {
        records[target]?.onTrial = false
    }

    /** Notes how a task of [target] ended. */
    fun ended(
        target: TargetId,
        failed: Boolean,
        now: Duration,
    ) {
        val record = records[target] ?: return
        if (!failed) return restore(record)
        record.failures++
        when {
            record.ejectedUntil != null -> if (record.onTrial) eject(record, now)
            record.failures >= failuresToEject && mayEject() -> eject(record, now)
        }
    }

    private fun restore(record: Record) {
        record.failures = 0
        record.onTrial = false
        record.ejectedUntil = null
        record.backOff = Duration.ZERO
    }

    private fun eject(
        record: Record,
        now: Duration,
    ) {
        record.onTrial = false
        record.backOff = if (record.backOff == Duration.ZERO) firstBackOff else minOf(longestBackOff, record.backOff * 2)
        record.ejectedUntil = now + record.backOff
    }

    private fun mayEject(): Boolean = (ejected.size + 1) * EJECTED_PART <= records.size

    /** Defaults. */
    companion object {
        /** Consecutive failures that eject a target. */
        const val FAILURES_TO_EJECT = 5

        /** Time until the first trial. */
        val FIRST_BACK_OFF = 1.seconds

        /** Longest time between trials. */
        val LONGEST_BACK_OFF = 30.seconds

        /** At most one in this many targets is ejected. */
        private const val EJECTED_PART = 3
    }
}
