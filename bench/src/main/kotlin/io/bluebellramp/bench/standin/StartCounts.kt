package io.bluebellramp.bench.standin

import io.bluebellramp.core.SubmissionId
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TargetCall
import java.util.BitSet
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** A task or request, whatever the attempt. */
internal data class StartedCall(
    val submission: SubmissionId,
    val kind: DispatchKind,
    val task: Int,
)

/** Counts starts and notes each task that started more than once. Safe for several threads. */
internal class StartCounts {
    private val started = ConcurrentHashMap<Pair<SubmissionId, DispatchKind>, BitSet>()
    private val again = ConcurrentHashMap<StartedCall, Int>()
    private val all = LongAdder()

    /** Starts so far, repeated ones too. */
    val starts: Long get() = all.sum()

    /** Tasks that started more than once, with the number of their starts. */
    val repeated: Map<StartedCall, Int> get() = again

    /** Counts the start of [call]. */
    fun add(call: TargetCall) {
        all.increment()
        val tasks = started.computeIfAbsent(call.submission to call.kind) { BitSet() }
        val isFirst =
            synchronized(tasks) {
                val isSet = tasks[call.task]
                tasks.set(call.task)
                !isSet
            }
        if (isFirst) return
        again.merge(StartedCall(call.submission, call.kind, call.task), 2) { count, _ -> count + 1 }
    }

    /** The counts in one line. */
    fun wording(): String = "starts: ${starts - again.values.sum()} once, ${again.size} twice"
}
