package io.bluebellramp.bench.trial

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What a message carries. A message that carries several things counts as the first of them here. */
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

/** Counts messages and task ends of a trial. */
internal class TrialTally {
    private val messages = IntArray(MessageKind.entries.size)

    /** Run time done by executors, by second of the trial. */
    val doneBySecond = ArrayList<Double>()

    /** Tasks that started. */
    var started = 0

    /** Tasks that a failing worker failed. */
    var failed = 0

    fun message(kind: MessageKind) {
        messages[kind.ordinal]++
    }

    fun count(vararg kinds: MessageKind): Int = kinds.sumOf { messages[it.ordinal] }

    /** Notes that a slot was busy from [from] to [to]. */
    fun busy(
        from: Duration,
        to: Duration,
    ) {
        var at = from
        while (at < to) {
            val second = at.inWholeSeconds
            val end = minOf(to, (second + 1).seconds)
            while (doneBySecond.size <= second) doneBySecond += 0.0
            doneBySecond[second.toInt()] += (end - at).inWholeMicroseconds / MICROS
            at = end
        }
    }

    private companion object {
        const val MICROS = 1_000_000.0
    }
}
