package io.bluebellramp.runtime

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Registers and returns a counter with one time series for each combination of values of its [labels]. */
fun PrometheusRegistry.counter(
    name: String,
    help: String,
    vararg labels: String,
): Counter =
    Counter
        .builder()
        .name(name)
        .help(help)
        .labelNames(*labels)
        // Exemplars need traces, and without traces each observation would still wake a thread.
        .withoutExemplars()
        .register(this)

/** Registers and returns a gauge whose value the caller sets. */
fun PrometheusRegistry.gauge(
    name: String,
    help: String,
): Gauge =
    Gauge
        .builder()
        .name(name)
        .help(help)
        .register(this)

/** Registers and returns a gauge that calls [value] each time the metrics are scraped. */
fun PrometheusRegistry.gauge(
    name: String,
    help: String,
    value: () -> Number,
): GaugeWithCallback =
    GaugeWithCallback
        .builder()
        .name(name)
        .help(help)
        .callback { it.call(value().toDouble()) }
        .register(this)

/** Returns all metrics in the Prometheus text format. */
fun PrometheusRegistry.text(): String {
    val out = ByteArrayOutputStream()
    PrometheusTextFormatWriter.create().write(out, scrape())
    return out.toString(Charsets.UTF_8)
}
