package io.bluebellramp.placement

import io.bluebellramp.core.TargetId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Ejects targets that fail several tasks in a row. Otherwise a target that fails every task at once would always seem free and
 * attract most of the work.
 *
 * An ejected target gets a single trial task after a back-off that doubles with each failed trial, and is restored when a trial
 * succeeds. At most a third of the targets are ejected at once. Does no I/O and is not thread-safe.
 *
 * @param failuresToEject number of consecutive failures after which a target is ejected
 * @param initialBackOff time until the first trial
 * @param maxBackOff longest time between trials
 */
class TargetHealth(
    private val failuresToEject: Int = FAILURES_TO_EJECT,
    private val initialBackOff: Duration = INITIAL_BACK_OFF,
    private val maxBackOff: Duration = MAX_BACK_OFF,
) {
    private class Record {
        var consecutiveFailures = 0
        var backOff = Duration.ZERO
        var ejectedUntil: Duration? = null
        var isOnTrial = false
    }

    private val records = LinkedHashMap<TargetId, Record>()

    /** The ejected targets. */
    val ejected: Set<TargetId> get() = records.filterValues { it.ejectedUntil != null }.keys

    /** Adds [target]. */
    fun targetJoined(target: TargetId) {
        records.getOrPut(target) { Record() }
    }

    /** Removes [target] unless it is ejected: it then stays ejected if it returns. */
    fun targetLeft(target: TargetId) {
        val record = records[target] ?: return
        record.isOnTrial = false
        if (record.ejectedUntil == null) records.remove(target)
    }

    /** Returns whether a task may be sent to [target] now, possibly as a trial. */
    fun mayUse(
        target: TargetId,
        now: Duration,
    ): Boolean {
        val record = records[target] ?: return true
        val nextTrialAt = record.ejectedUntil ?: return true
        return now >= nextTrialAt && !record.isOnTrial
    }

    /** Records that a task was sent to [target]. */
    fun taskSent(target: TargetId) {
        val record = records[target] ?: return
        if (record.ejectedUntil != null) record.isOnTrial = true
    }

    /** Records that the last task sent to [target] did not start, which is no evidence of its health. */
    fun taskNotStarted(target: TargetId) {
        records[target]?.isOnTrial = false
    }

    /** Records how a task on [target] ended. */
    fun taskEnded(
        target: TargetId,
        failed: Boolean,
        now: Duration,
    ) {
        val record = records[target] ?: return
        if (!failed) return restore(record)
        record.consecutiveFailures++
        when {
            record.ejectedUntil != null -> if (record.isOnTrial) eject(record, now)
            record.consecutiveFailures >= failuresToEject && mayEject() -> eject(record, now)
        }
    }

    private fun restore(record: Record) {
        record.consecutiveFailures = 0
        record.isOnTrial = false
        record.ejectedUntil = null
        record.backOff = Duration.ZERO
    }

    private fun eject(
        record: Record,
        now: Duration,
    ) {
        record.isOnTrial = false
        record.backOff = if (record.backOff == Duration.ZERO) initialBackOff else minOf(maxBackOff, record.backOff * 2)
        record.ejectedUntil = now + record.backOff
    }

    private fun mayEject(): Boolean = (ejected.size + 1) * TARGETS_PER_EJECTED_TARGET <= records.size

    /** Default settings. */
    companion object {
        /** Number of consecutive failures after which a target is ejected. */
        const val FAILURES_TO_EJECT = 5

        /** Time until the first trial. */
        val INITIAL_BACK_OFF = 1.seconds

        /** Longest time between trials. */
        val MAX_BACK_OFF = 30.seconds

        /** At most one in this many targets may be ejected. */
        private const val TARGETS_PER_EJECTED_TARGET = 3
    }
}
