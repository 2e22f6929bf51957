package io.bluebellramp.bench.standin

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TargetCall
import java.util.BitSet
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Identifies a task or request across its attempts. */
internal data class StartedCall(
    val submission: SubmissionId,
    val kind: DispatchKind,
    val task: Int,
)

/** Thread-safe counter of starts that records each task that started more than once. */
internal class StartCounts {
    private val started = ConcurrentHashMap<Pair<SubmissionId, DispatchKind>, BitSet>()
    private val repeatedStarts = ConcurrentHashMap<StartedCall, Int>()
    private val totalStarts = LongAdder()

    /** Number of starts so far, including repeated ones. */
    val starts: Long get() = totalStarts.sum()

    /** Tasks that started more than once with their number of starts. */
    val repeated: Map<StartedCall, Int> get() = repeatedStarts

    /** Counts the start of [call]. */
    fun add(call: TargetCall) {
        totalStarts.increment()
        val tasks = started.computeIfAbsent(call.submission to call.kind) { BitSet() }
        val isFirst =
            synchronized(tasks) {
                val isSet = tasks[call.task]
                tasks.set(call.task)
                !isSet
            }
        if (isFirst) return
        repeatedStarts.merge(StartedCall(call.submission, call.kind, call.task), 2) { count, _ -> count + 1 }
    }

    /** Returns the counts as one line of text. */
    fun summary(): String = "starts: ${starts - repeatedStarts.values.sum()} once, ${repeatedStarts.size} twice"
}
