package io.bluebellramp.bench

/** Counters parsed from a page in the Prometheus text format. */
internal class MetricsPage(
    text: String,
) {
    /** Value of each counter by its name with labels. */
    val counters: Map<String, Double> =
        text
            .lineSequence()
            .filter { it.isNotBlank() && !it.startsWith("#") }
            .map { it.substringBeforeLast(' ') to it.substringAfterLast(' ').toDoubleOrNull() }
            .filter { (name, value) -> value != null && name.substringBefore('{').endsWith("_total") }
            .associate { (name, value) -> name to (value ?: 0.0) }

    /** Returns the increase of each counter from [before] to this page. */
    fun growthSince(
        before: MetricsPage?,
        process: String,
        tasks: Int,
    ): List<CounterGrowth> =
        counters.map { (name, value) ->
            val growth = value - (before?.counters?.get(name) ?: 0.0)
            CounterGrowth(process = process, counter = name, growth = growth, perTask = if (tasks > 0) growth / tasks else 0.0)
        }
}

/**
 * Counters and processor times of all processes at one moment.
 *
 * @property pages metrics pages by URL
 * @property processorSeconds processor time by process id (s)
 */
internal class Scrape(
    private val pages: Map<String, MetricsPage>,
    private val processorSeconds: Map<Int, Double>,
) {
    /** Returns the increase of each counter and processor time since [before]. */
    fun growthSince(
        before: Scrape,
        tasks: Int,
    ): List<CounterGrowth> =
        pages.flatMap { (url, page) -> page.growthSince(before.pages[url], process = url, tasks = tasks) } +
            processorSeconds.map { (pid, seconds) -> processorGrowth(pid, seconds - (before.processorSeconds[pid] ?: 0.0), tasks) }

    private fun processorGrowth(
        pid: Int,
        growth: Double,
        tasks: Int,
    ) = CounterGrowth(
        process = "process $pid",
        counter = "processor_seconds",
        growth = growth,
        perTask = if (tasks > 0) growth / tasks else 0.0,
    )
}
