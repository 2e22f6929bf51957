package io.bluebellramp.agent

import io.bluebellramp.runtime.counter
import io.bluebellramp.runtime.gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** The metrics of an agent. */
internal class AgentMetrics(
    registry: PrometheusRegistry,
) {
    private val starts = registry.counter("bluebellramp_agent_starts", "Attempts started at the target.")
    private val refusals = registry.counter("bluebellramp_agent_refusals", "Attempts refused, by reason.", "reason")
    private val dropped = registry.counter("bluebellramp_agent_outcomes_dropped", "Outcomes that reach nobody, by reason.", "reason")
    private val frames = registry.counter("bluebellramp_agent_frames", "Frames to and from entries.", "direction")
    private val characters = registry.counter("bluebellramp_agent_frame_characters", "Size of those frames (characters).", "direction")
    private val slotsUsed = registry.gauge("bluebellramp_agent_slots_used", "Tasks that run.")
    private val slots = registry.gauge("bluebellramp_agent_slots", "Tasks that may run at once.")
    private val queue = registry.gauge("bluebellramp_agent_queue", "Tasks that wait at the agent.")
    private val connections = registry.gauge("bluebellramp_agent_connections_used", "Requests that run.")
    private val permitLeft = registry.gauge("bluebellramp_agent_permit_left_seconds", "Life left of the permit (s).")
    private val revision = registry.gauge("bluebellramp_agent_revision", "Highest revision seen in a permit.")
    private val ledger = registry.gauge("bluebellramp_agent_ledger_tasks", "Tasks in the start ledger.")
    private val ledgerBytes = registry.gauge("bluebellramp_agent_ledger_bytes", "Memory of the start ledger (bytes).")
    private val outcomes = registry.gauge("bluebellramp_agent_outcomes_kept", "Outcomes that no entry has received yet.")

    /** Counts a start, or a refusal. */
    fun decided(refusal: Refusal?) {
        if (refusal == null) starts.inc() else refusals.labelValues(refusal.wording).inc()
    }

    /** Counts an outcome that reaches nobody. */
    fun dropped(reason: DropReason) = dropped.labelValues(reason.name.lowercase()).inc()

    /** Counts an answer of the target with the ids of another call. */
    fun crossed() = dropped.labelValues("crossed").inc()

    /** Counts a frame of [size] characters to an entry. */
    fun frameSent(size: Int) = frame("sent", size)

    /** Counts a frame of [size] characters from an entry. */
    fun frameReceived(size: Int) = frame("received", size)

    /** Shows the state of the agent. */
    fun show(view: AgentView) {
        slotsUsed.set(view.tasksRunning.toDouble())
        slots.set(view.slots.toDouble())
        queue.set(view.tasksQueued.toDouble())
        connections.set(view.requestsRunning.toDouble())
        permitLeft.set(view.permitLeft.inWholeMilliseconds / MILLIS_PER_SECOND)
        revision.set(view.revision.value.toDouble())
        ledger.set(view.ledgerTasks.toDouble())
        ledgerBytes.set(view.ledgerBytes.toDouble())
        outcomes.set(view.outcomesKept.toDouble())
    }

    private fun frame(
        direction: String,
        size: Int,
    ) {
        frames.labelValues(direction).inc()
        characters.labelValues(direction).inc(size.toDouble())
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
