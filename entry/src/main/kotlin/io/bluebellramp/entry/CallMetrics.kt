package io.bluebellramp.entry

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.runtime.counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Measures the calls of callers. */
internal class CallMetrics(
    private val clock: Clock,
    registry: PrometheusRegistry,
) {
    private val response: Histogram =
        Histogram
            .builder()
            .name("bluebellramp_entry_response_seconds")
            .help("Time from the arrival of a submission to its reply")
            .labelNames("kind", "outcome")
            .register(registry)
    private val refusals =
        registry.counter("bluebellramp_entry_refused_calls_total", "Calls refused without an answer of the owner", "code")

    /** The start of a call. */
    fun start(): Duration = clock.monotonic()

    /** Notes the reply to a call that began at [started]. */
    fun finish(
        started: Duration,
        kind: DispatchKind,
        reply: Reply,
    ) {
        val outcome =
            when (reply) {
                is Reply.Whole -> {
                    reply.answer.outcome.name
                        .lowercase()
                }

                is Reply.Refused -> {
                    "refused"
                }
            }
        response.labelValues(kind.name.lowercase(), outcome).observe((clock.monotonic() - started).toDouble(DurationUnit.SECONDS))
    }

    /** Notes a refused call. */
    fun refused(code: ErrorCode) = refusals.labelValues(code.name.lowercase()).inc()
}
