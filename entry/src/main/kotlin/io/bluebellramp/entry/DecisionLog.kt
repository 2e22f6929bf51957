package io.bluebellramp.entry

import io.bluebellramp.core.EntryId
import io.bluebellramp.placement.CreditedTarget
import io.bluebellramp.runtime.Decision
import io.bluebellramp.runtime.logDecision
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withContext

/**
 * Writes one log line for each decision, outside of the core's coroutine.
 *
 * No line is dropped. A line that waits counts in [budget], so new calls are refused while the log can't keep up.
 */
internal class DecisionLog(
    private val entry: EntryId,
    private val budget: MemoryBudget,
    private val put: (Decision) -> Unit = ::logDecision,
) {
    private val decisions = Channel<Action>(Channel.UNLIMITED)

    /** Adds a decision. */
    fun add(decision: Action) {
        budget.take(LINE_BYTES)
        decisions.trySend(decision)
    }

    /** Takes no more decisions. [run] ends once the lines that wait are written. */
    fun close() {
        decisions.close()
    }

    /** Writes decisions until [close]. */
    suspend fun run() =
        withContext(Dispatchers.IO) {
            for (decision in decisions) {
                write(decision)
                budget.give(LINE_BYTES)
            }
        }

    private fun write(decision: Action) {
        when (decision) {
            is Action.LogPlacement -> put(decision.line())
            is Action.LogRouting -> put(decision.line())
            else -> Unit
        }
    }

    private fun Action.LogPlacement.line() =
        Decision(
            kind = "place",
            reason = "credit",
            fields =
                mapOf(
                    "submission" to submission,
                    "task" to task,
                    "attempt" to attempt,
                    "service" to service,
                    "target" to target,
                    "zone" to zone,
                    "entry" to entry,
                    "candidates" to candidates.text(),
                ),
        )

    private fun Action.LogRouting.line() =
        Decision(kind = kind, reason = reason, fields = mapOf("submission" to submission, "entry" to entry))

    private fun Candidates.text(): String {
        val figures = shown.joinToString(" ") { it.figures() }
        return if (count == shown.size) figures else "$figures and ${count - shown.size} more"
    }

    /** Target, unspent credits and running tasks. */
    private fun CreditedTarget.figures() = "$target:$credits/$running"

    companion object {
        /** Memory of one line that waits: its objects and its part of the candidates. */
        const val LINE_BYTES = 200L
    }
}
