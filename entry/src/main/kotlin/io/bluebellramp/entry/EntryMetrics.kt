package io.bluebellramp.entry

import io.bluebellramp.core.Clock
import io.bluebellramp.runtime.counter
import io.bluebellramp.runtime.gauge
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Publishes the state and counters of [core] as metrics. [publish] runs in the core's coroutine. */
internal class EntryMetrics(
    private val core: EntryCore,
    private val clock: Clock,
    registry: PrometheusRegistry,
    private val budget: MemoryBudget,
) : FrameMetrics {
    @Volatile
    private var liveUntil: Duration = Duration.ZERO
    private val published = HashMap<String, Long>()
    private val dispatched = registry.counter("bluebellramp_entry_dispatched_total", "Attempts dispatched to agents")
    private val wasted = registry.counter("bluebellramp_entry_wasted_messages_total", "Messages that served no purpose", "kind")
    private val outcomes = registry.counter("bluebellramp_entry_outcomes_total", "Outcomes of attempts", "status")
    private val answers = registry.counter("bluebellramp_entry_answers_total", "Final answers", "outcome")
    private val refusals = registry.counter("bluebellramp_entry_refusals_total", "Submissions refused", "code")
    private val claims = registry.counter("bluebellramp_entry_claims_total", "Claims by verdict", "verdict")
    private val frames = registry.counter("bluebellramp_entry_frames_total", "Frames to and from agents", "direction")
    private val characters = registry.counter("bluebellramp_entry_frame_characters_total", "Characters in frames", "direction")
    private val queuedTasks = registry.gauge("bluebellramp_entry_queued_tasks", "Tasks and requests that wait")
    private val openSubmissions = registry.gauge("bluebellramp_entry_open_submissions", "Submissions without an answer")
    private val reserved = registry.gauge("bluebellramp_entry_held_bytes", "Estimated memory of calls, open submissions, log lines and ids")
    private val linkedAgents = registry.gauge("bluebellramp_entry_linked_agents", "Agents that are connected")
    private val revision = registry.gauge("bluebellramp_entry_revision", "Revision of the lease")
    private val leaseRemaining = registry.gauge("bluebellramp_entry_lease_remaining_seconds", "Time until the lease runs out")

    /** True while the lease is valid, as of the last [publish]. */
    fun isLeaseLive() = clock.monotonic() < liveUntil

    /** Copies the current values of the core to the metrics. */
    fun publish(now: Duration) {
        val remaining = core.lease.remaining(now)
        liveUntil = if (core.lease.isLive(now)) now + remaining else Duration.ZERO
        leaseRemaining.set(maxOf(0.0, remaining.toDouble(DurationUnit.SECONDS)))
        revision.set(
            core.lease.revision.value
                .toDouble(),
        )
        queuedTasks.set(core.waiting.toDouble())
        openSubmissions.set(core.openSubmissions.toDouble())
        reserved.set(budget.usedBytes.toDouble())
        linkedAgents.set(core.connectedAgents.toDouble())
        val counters = core.counters
        add(dispatched, "dispatched", null, counters.dispatched)
        counters.wasted.forEach { (kind, count) -> add(wasted, "wasted", kind.name, count) }
        counters.outcomes.forEach { (status, count) -> add(outcomes, "outcome", status.name, count) }
        counters.answers.forEach { (outcome, count) -> add(answers, "answer", outcome.name, count) }
        counters.refusals.forEach { (code, count) -> add(refusals, "refusal", code.name, count) }
        counters.claims.forEach { (verdict, count) -> add(claims, "claim", verdict.name, count) }
    }

    override fun recordReceived(characterCount: Int) = count("in", characterCount)

    override fun recordSent(characterCount: Int) = count("out", characterCount)

    private fun count(
        direction: String,
        characterCount: Int,
    ) {
        frames.labelValues(direction).inc()
        characters.labelValues(direction).inc(characterCount.toLong())
    }

    private fun add(
        counter: Counter,
        metric: String,
        label: String?,
        total: Long,
    ) {
        val before = published.put("$metric $label", total) ?: 0L
        if (total == before) return
        if (label == null) counter.inc(total - before) else counter.labelValues(label.lowercase()).inc(total - before)
    }
}
