package io.bluebellramp.agent

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** The metrics of an agent. */
internal class AgentMetrics(
    registry: PrometheusRegistry,
) {
    private val starts = counter("bluebellramp_agent_starts", "Attempts started at the target.", registry)
    private val refusals = counter("bluebellramp_agent_refusals", "Attempts refused, by reason.", registry, "reason")
    private val dropped = counter("bluebellramp_agent_outcomes_dropped", "Outcomes that reach nobody, by reason.", registry, "reason")
    private val frames = counter("bluebellramp_agent_frames", "Frames to and from entries.", registry, "direction")
    private val characters = counter("bluebellramp_agent_frame_characters", "Size of those frames (characters).", registry, "direction")
    private val slotsUsed = gauge("bluebellramp_agent_slots_used", "Tasks that run.", registry)
    private val slots = gauge("bluebellramp_agent_slots", "Tasks that may run at once.", registry)
    private val queue = gauge("bluebellramp_agent_queue", "Tasks that wait at the agent.", registry)
    private val connections = gauge("bluebellramp_agent_connections_used", "Requests that run.", registry)
    private val permitLeft = gauge("bluebellramp_agent_permit_left_seconds", "Life left of the permit (s).", registry)
    private val revision = gauge("bluebellramp_agent_revision", "Highest revision seen in a permit.", registry)
    private val ledger = gauge("bluebellramp_agent_ledger_tasks", "Tasks in the start ledger.", registry)
    private val ledgerBytes = gauge("bluebellramp_agent_ledger_bytes", "Memory of the start ledger (bytes).", registry)
    private val outcomes = gauge("bluebellramp_agent_outcomes_kept", "Outcomes that no entry has received yet.", registry)

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

    private fun counter(
        name: String,
        help: String,
        registry: PrometheusRegistry,
        vararg labels: String,
    ): Counter =
        Counter
            .builder()
            .name(name)
            .help(help)
            .labelNames(*labels)
            .register(registry)

    private fun gauge(
        name: String,
        help: String,
        registry: PrometheusRegistry,
    ): Gauge =
        Gauge
            .builder()
            .name(name)
            .help(help)
            .register(registry)

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0
    }
}
