package io.bluebellramp.runtime

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.Gauge
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream

/** Registers and returns a counter that has one series for each value of its [labels]. */
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
        .register(this)

/** Registers and returns a gauge that its owner sets. */
fun PrometheusRegistry.gauge(
    name: String,
    help: String,
): Gauge =
    Gauge
        .builder()
        .name(name)
        .help(help)
        .register(this)

/** Registers a gauge that asks for its [value] whenever the metrics are read. */
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
