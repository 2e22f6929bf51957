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
 * No line is dropped. Queued lines count in [budget], so new calls are refused while the log can't keep up.
 */
internal class DecisionLog(
    private val entry: EntryId,
    private val budget: MemoryBudget,
    private val emit: (Decision) -> Unit = ::logDecision,
) {
    private val decisions = Channel<Action>(Channel.UNLIMITED)

    /** Queues a decision. */
    fun add(decision: Action) {
        budget.reserve(BYTES_PER_LINE)
        decisions.trySend(decision)
    }

    /** Accepts no more decisions. [run] ends once the queued lines are written. */
    fun close() {
        decisions.close()
    }

    /** Writes queued decisions until [close] was called and the queue is empty. */
    suspend fun run() =
        withContext(Dispatchers.IO) {
            for (decision in decisions) {
                write(decision)
                budget.release(BYTES_PER_LINE)
            }
        }

    private fun write(decision: Action) {
        when (decision) {
            is Action.LogPlacementDecision -> emit(decision.line())
            is Action.LogSubmissionDecision -> emit(decision.line())
            else -> Unit
        }
    }

    private fun Action.LogPlacementDecision.line() =
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
                    "candidates" to candidates.describe(),
                ),
        )

    private fun Action.LogSubmissionDecision.line() =
        Decision(kind = kind, reason = reason, fields = mapOf("submission" to submission, "entry" to entry))

    private fun PlacementCandidates.describe(): String {
        val summary = shown.joinToString(" ") { it.summary() }
        return if (total == shown.size) summary else "$summary and ${total - shown.size} more"
    }

    /** Formats target, unspent credits and running tasks as `target:credits/running`. */
    private fun CreditedTarget.summary() = "$target:$credits/$running"

    companion object {
        /** Memory of one queued line: its objects and its part of the candidates. */
        const val BYTES_PER_LINE = 200L
    }
}
