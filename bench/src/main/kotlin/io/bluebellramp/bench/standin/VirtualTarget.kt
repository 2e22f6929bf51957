package io.bluebellramp.bench.standin

import io.bluebellramp.agent.TaskRunner
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TargetCall
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/**
 * A target that only waits. It understands `sleep:MILLIS` and `echo:TEXT`, which `;` separates, and echoes other text.
 *
 * @param counts counts each start
 * @param slots most tasks that may run at once
 * @param sleeps whether it sleeps as told; otherwise a task ends at once
 */
internal class VirtualTarget(
    private val counts: StartCounts,
    private val slots: Int,
    private val sleeps: Boolean,
) : TaskRunner {
    private val runningTasks = AtomicInteger()
    private val excess = AtomicInteger()

    /** Tasks that run. */
    val running: Int get() = runningTasks.get()

    /** Tasks that started while all slots were taken. */
    val startedAboveSlots: Int get() = excess.get()

    override suspend fun run(call: TargetCall): String {
        counts.add(call)
        if (call.kind == DispatchKind.REQUEST) return answer(call.payload)
        if (runningTasks.incrementAndGet() > slots) excess.incrementAndGet()
        try {
            return answer(call.payload)
        } finally {
            runningTasks.decrementAndGet()
        }
    }

    private suspend fun answer(payload: String): String {
        val result = StringBuilder()
        for (step in payload.split(';')) {
            val argument = step.substringAfter(':', "")
            when (step.substringBefore(':')) {
                "sleep" -> if (sleeps) delay(argument.toLong().milliseconds)
                "echo" -> result.append(argument)
                else -> result.append(step)
            }
        }
        return result.toString()
    }
}
