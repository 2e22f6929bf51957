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
    private val queuedTasks = registry.gauge("bluebellramp_agent_queue", "Tasks that wait at the agent.")
    private val connectionsUsed = registry.gauge("bluebellramp_agent_connections_used", "Requests that run.")
    private val permitTimeLeft = registry.gauge("bluebellramp_agent_permit_left_seconds", "Life left of the permit (s).")
    private val revision = registry.gauge("bluebellramp_agent_revision", "Highest revision seen in a permit.")
    private val ledgerTasks = registry.gauge("bluebellramp_agent_ledger_tasks", "Tasks in the start ledger.")
    private val ledgerBytes = registry.gauge("bluebellramp_agent_ledger_bytes", "Memory of the start ledger (bytes).")
    private val pendingOutcomes = registry.gauge("bluebellramp_agent_outcomes_kept", "Outcomes that no entry has received yet.")

    /** Counts a start if [refusal] is null, a refusal otherwise. */
    fun countDecision(refusal: Refusal?) {
        if (refusal == null) starts.inc() else refusals.labelValues(refusal.reason).inc()
    }

    /** Counts an outcome that will not be delivered to any entry. */
    fun countDroppedOutcome(reason: DropReason) = dropped.labelValues(reason.name.lowercase()).inc()

    /** Counts a target answer that carries the ids of another call. */
    fun countMismatchedAnswer() = dropped.labelValues("crossed").inc()

    /** Counts a frame of [size] characters sent to an entry. */
    fun countFrameSent(size: Int) = countFrame("sent", size)

    /** Counts a frame of [size] characters received from an entry. */
    fun countFrameReceived(size: Int) = countFrame("received", size)

    /** Sets the gauges to the state of the agent in [snapshot]. */
    fun update(snapshot: AgentSnapshot) {
        slotsUsed.set(snapshot.tasksRunning.toDouble())
        slots.set(snapshot.slots.toDouble())
        queuedTasks.set(snapshot.tasksQueued.toDouble())
        connectionsUsed.set(snapshot.requestsRunning.toDouble())
        permitTimeLeft.set(snapshot.permitTimeLeft.inWholeMilliseconds / MILLIS_PER_SECOND)
        revision.set(snapshot.revision.value.toDouble())
        ledgerTasks.set(snapshot.ledgerTasks.toDouble())
        ledgerBytes.set(snapshot.ledgerBytes.toDouble())
        pendingOutcomes.set(snapshot.pendingOutcomes.toDouble())
    }

    private fun countFrame(
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
