package io.bluebellramp.bench.standin

import io.bluebellramp.agent.TaskRunner
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.TargetCall
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.milliseconds

/**
 * In-process target that interprets payloads of `sleep:MILLIS` and `echo:TEXT` steps separated by `;`. Any other text is echoed.
 *
 * @param counts counts each start
 * @param slots maximum number of tasks that may run at once
 * @param executesSleeps whether `sleep` steps are executed; otherwise they return immediately
 */
internal class VirtualTarget(
    private val counts: StartCounts,
    private val slots: Int,
    private val executesSleeps: Boolean,
) : TaskRunner {
    private val runningTasks = AtomicInteger()
    private val excess = AtomicInteger()

    /** Number of running tasks. */
    val running: Int get() = runningTasks.get()

    /** Number of tasks that started while all slots were in use. */
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
                "sleep" -> if (executesSleeps) delay(argument.toLong().milliseconds)
                "echo" -> result.append(argument)
                else -> result.append(step)
            }
        }
        return result.toString()
    }
}
