package io.bluebellramp.bench.trial

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Kind of a message. A message is counted once, by the rules of [FrameToAgent.kind] and [FrameToEntry.kind]. */
internal enum class MessageKind {
    DISPATCH,
    OUTCOME,
    GRANT,
    DEMAND,
    RECALL,
    RETURN,
    REPORT,
    PROBE,
    REFUSAL,
    CANCEL,
}

/** Counts the messages, starts and failures of a trial and the work done in each second. */
internal class TrialTally {
    private val messages = IntArray(MessageKind.entries.size)

    /** Run time of tasks on all executors in each second of the trial (s). */
    val doneBySecond = ArrayList<Double>()

    /** Number of tasks that started. */
    var started = 0

    /** Number of tasks that failed on the failing executor. */
    var failed = 0

    fun countMessage(kind: MessageKind) {
        messages[kind.ordinal]++
    }

    fun messageCount(vararg kinds: MessageKind): Int = kinds.sumOf { messages[it.ordinal] }

    /** Records that a slot was busy from [from] to [to]. */
    fun addBusyTime(
        from: Duration,
        to: Duration,
    ) {
        var at = from
        while (at < to) {
            val second = at.inWholeSeconds
            val end = minOf(to, (second + 1).seconds)
            while (doneBySecond.size <= second) doneBySecond += 0.0
            doneBySecond[second.toInt()] += (end - at).inWholeMicroseconds / MICROS_PER_SECOND
            at = end
        }
    }

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000.0
    }
}
