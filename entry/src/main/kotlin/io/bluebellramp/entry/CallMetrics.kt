package io.bluebellramp.entry

import io.bluebellramp.core.Clock
import io.bluebellramp.messages.DispatchKind
import io.bluebellramp.messages.ErrorCode
import io.bluebellramp.runtime.counter
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Metrics of the calls to [CallerApi]. */
internal class CallMetrics(
    private val clock: Clock,
    registry: PrometheusRegistry,
) {
    private val replySeconds: Histogram =
        Histogram
            .builder()
            .name("bluebellramp_entry_response_seconds")
            .help("Time from the arrival of a submission to its reply")
            .labelNames("kind", "outcome")
            .register(registry)
    private val refusals =
        registry.counter("bluebellramp_entry_refused_calls_total", "Calls refused without an answer of the owner", "code")

    /** Returns the start time to pass to [recordReply]. */
    fun start(): Duration = clock.monotonic()

    /** Records the reply to a call that began at [started]. */
    fun recordReply(
        started: Duration,
        kind: DispatchKind,
        reply: Reply,
    ) {
        val outcome =
            when (reply) {
                is Reply.Answered -> {
                    reply.answer.outcome.name
                        .lowercase()
                }

                is Reply.Refused -> {
                    "refused"
                }
            }
        replySeconds.labelValues(kind.name.lowercase(), outcome).observe((clock.monotonic() - started).toDouble(DurationUnit.SECONDS))
    }

    /** Counts a refused call. */
    fun recordRefusal(code: ErrorCode) = refusals.labelValues(code.name.lowercase()).inc()
}
